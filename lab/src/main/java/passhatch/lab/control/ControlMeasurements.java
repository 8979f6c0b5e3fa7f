package passhatch.lab.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.lab.Results;

/** The measurements of one size, by name and run, and the slopes between two sizes. */
final class ControlMeasurements {

    /** The dimension that a measurement grows with. */
    enum ScalesWith {
        /**
         * The number of lines in the list; the value is per watch and does not depend on the number of
         * watches.
         */
        LINES,
        /** The number of watches, for the same list. */
        WATCHES,
        /** Neither; no slope is reported. */
        NOTHING
    }

    /** One measurement with one value per run. */
    private record Measurement(ScalesWith scalesWith, String unit, List<Double> valuesByRun) { }

    private final ControlPathSize size;
    private final Map<String, Measurement> measurements = new LinkedHashMap<>();
    /** Names of the measurements that are in the results already. */
    private final Set<String> written = new HashSet<>();

    /** Creates an empty set of measurements at a size. */
    ControlMeasurements(ControlPathSize size) {
        this.size = size;
    }

    /** Adds the value of one more run to the named measurement. */
    void add(ScalesWith scalesWith, String name, String unit, double value) {
        measurements.computeIfAbsent(name, n -> new Measurement(scalesWith, unit, new ArrayList<>()))
                .valuesByRun().add(value);
    }

    /**
     * Writes the measurements that are not in the results yet. Values added to them later are not written.
     */
    void writeTo(Results results) {
        measurements.forEach((name, measurement) -> {
            if (written.add(name)) {
                results.add(name, size.toString(), measurement.unit(),
                        measurement.valuesByRun().stream().mapToDouble(value -> value).toArray());
            }
        });
    }

    /**
     * Writes the growth of each measurement since a smaller size, run by run: per added line, or per added
     * watch if both sizes have the same number of lines.
     */
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
