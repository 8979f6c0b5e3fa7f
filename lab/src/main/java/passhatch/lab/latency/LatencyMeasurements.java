package passhatch.lab.latency;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import passhatch.lab.Results;

/** The measurements of several runs at one rate. */
final class LatencyMeasurements {

    /** One measurement with one value per run. */
    private record Measurement(String unit, List<Double> valuesByRun) { }

    private final Map<String, Measurement> measurements = new LinkedHashMap<>();

    /** Adds the value of one more run to the named measurement. */
    void add(String name, String unit, double value) {
        measurements.computeIfAbsent(name, n -> new Measurement(unit, new ArrayList<>())).valuesByRun()
                .add(value);
    }

    /** Writes all measurements to the results under the given size. */
    void writeTo(Results results, String size) {
        measurements.forEach((name, measurement) -> results.add(name, size, measurement.unit(),
                measurement.valuesByRun().stream().mapToDouble(value -> value).toArray()));
    }
}
