package passhatch.lab.latency;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import passhatch.lab.Results;

/** Figures of several runs at one size. */
final class RunFigures {

    private record Figure(String unit, List<Double> runs) { }

    private final Map<String, Figure> figures = new LinkedHashMap<>();

    /** Adds the value of a further run. */
    void add(String name, String unit, double run) {
        figures.computeIfAbsent(name, n -> new Figure(unit, new ArrayList<>())).runs().add(run);
    }

    void into(Results results, String size) {
        figures.forEach((name, f) -> results.add(name, size, f.unit(),
                f.runs().stream().mapToDouble(r -> r).toArray()));
    }
}
