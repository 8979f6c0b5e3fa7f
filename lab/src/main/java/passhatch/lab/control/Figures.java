package passhatch.lab.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.lab.Results;

/** The figures of one size, by name and run, on their way into the table; and slopes between two sizes. */
final class Figures {

    /** What a figure grows with. */
    enum GrowsWith {
        /** The list: it is one watch's, whatever their number. */
        LINES,
        /** The number of watches, where the list is the same. */
        WATCHES,
        /** Neither, as far as the table tells. */
        NOTHING
    }

    private record Figure(GrowsWith growsWith, String unit, List<Double> runs) { }

    private final WatchSize size;
    private final Map<String, Figure> figures = new LinkedHashMap<>();
    private final Set<String> written = new HashSet<>();

    Figures(WatchSize size) {
        this.size = size;
    }

    /** Adds the value of a further run. */
    void add(GrowsWith growsWith, String name, String unit, double run) {
        figures.computeIfAbsent(name, n -> new Figure(growsWith, unit, new ArrayList<>())).runs().add(run);
    }

    /** Writes the figures into the table that are not in it; they are to get no further run. */
    void into(Results results) {
        figures.forEach((name, f) -> {
            if (written.add(name)) {
                results.add(name, size.toString(), f.unit(), f.runs().stream().mapToDouble(r -> r).toArray());
            }
        });
    }

    /** Writes how the figures grew since another size, for each line or watch more, run by run. */
    void slopesInto(Results results, Figures before) {
        int lines = size.lines() - before.size.lines();
        int watches = lines == 0 ? size.watches() - before.size.watches() : 0;
        figures.forEach((name, f) -> {
            Figure smaller = before.figures.get(name);
            int more = switch (f.growsWith()) {
                case LINES -> lines;
                case WATCHES -> watches;
                default -> 0;
            };
            if (smaller != null && more != 0) {
                double[] slopes = new double[Math.min(smaller.runs().size(), f.runs().size())];
                for (int i = 0; i < slopes.length; i++) {
                    slopes[i] = (f.runs().get(i) - smaller.runs().get(i)) / more;
                }
                results.add("slope: " + name, before.size + " to " + size,
                        f.unit() + (lines == 0 ? " a watch" : " a line"), slopes);
            }
        });
    }
}
