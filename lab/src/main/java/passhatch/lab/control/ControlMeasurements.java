package passhatch.lab.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.lab.Results;

/** The figures of one size, by name and run, on their way into the table; and slopes between two sizes. */
final class ControlMeasurements {

    /** What a figure grows with. */
    enum ScalesWith {
        /** The list: it is one watch's, whatever their number. */
        LINES,
        /** The number of watches, where the list is the same. */
        WATCHES,
        /** Neither, as far as the table tells. */
        NOTHING
    }

    private record Measurement(ScalesWith scalesWith, String unit, List<Double> valuesByRun) { }

    private final ControlPathSize size;
    private final Map<String, Measurement> measurements = new LinkedHashMap<>();
    private final Set<String> written = new HashSet<>();

    ControlMeasurements(ControlPathSize size) {
        this.size = size;
    }

    /** Adds the value of a further run. */
    void add(ScalesWith scalesWith, String name, String unit, double value) {
        measurements.computeIfAbsent(name, n -> new Measurement(scalesWith, unit, new ArrayList<>()))
                .valuesByRun().add(value);
    }

    /** Writes the figures into the table that are not in it; they are to get no further run. */
    void writeTo(Results results) {
        measurements.forEach((name, measurement) -> {
            if (written.add(name)) {
                results.add(name, size.toString(), measurement.unit(),
                        measurement.valuesByRun().stream().mapToDouble(value -> value).toArray());
            }
        });
    }

    /** Writes how the figures grew since another size, for each line or watch more, run by run. */
    void writeSlopesTo(Results results, ControlMeasurements previous) {
        int addedLines = size.lines() - previous.size.lines();
        int addedWatches = addedLines == 0 ? size.watches() - previous.size.watches() : 0;
        measurements.forEach((name, measurement) -> {
            Measurement previousMeasurement = previous.measurements.get(name);
            int added = switch (measurement.scalesWith()) {
                case LINES -> addedLines;
                case WATCHES -> addedWatches;
                default -> 0;
            };
            if (previousMeasurement != null && added != 0) {
                double[] slopes = new double[Math.min(previousMeasurement.valuesByRun().size(),
                        measurement.valuesByRun().size())];
                for (int i = 0; i < slopes.length; i++) {
                    slopes[i] = (measurement.valuesByRun().get(i)
                            - previousMeasurement.valuesByRun().get(i)) / added;
                }
                results.add("slope: " + name, previous.size + " to " + size,
                        measurement.unit() + (addedLines == 0 ? " a watch" : " a line"), slopes);
            }
        });
    }
}
