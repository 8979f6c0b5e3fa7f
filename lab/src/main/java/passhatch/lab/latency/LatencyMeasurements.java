package passhatch.lab.latency;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import passhatch.lab.Results;

/** Figures of several runs at one size. */
final class LatencyMeasurements {

    private record Measurement(String unit, List<Double> valuesByRun) { }

    private final Map<String, Measurement> measurements = new LinkedHashMap<>();

    /** Adds the value of a further run. */
    void add(String name, String unit, double value) {
        measurements.computeIfAbsent(name, n -> new Measurement(unit, new ArrayList<>())).valuesByRun()
                .add(value);
    }

    void writeTo(Results results, String size) {
        measurements.forEach((name, measurement) -> results.add(name, size, measurement.unit(),
                measurement.valuesByRun().stream().mapToDouble(value -> value).toArray()));
    }
}
