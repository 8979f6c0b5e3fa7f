package passhatch.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A table of figures, with the seed, the machine and the version they were measured with. It is written as
 * NAME.md and NAME.csv after each figure, so that a command that is stopped leaves what it has measured.
 */
public final class Results {

    private record Row(String figure, String size, String unit, double[] runs) {

        double quantile(double q) {
            double[] sorted = runs.clone();
            Arrays.sort(sorted);
            double at = q * (sorted.length - 1);
            int below = (int) at;
            int above = Math.min(below + 1, sorted.length - 1);
            return sorted[below] + (at - below) * (sorted[above] - sorted[below]);
        }
    }

    private final Path directory;
    private final String name;
    private final String origin;
    private final List<Row> rows = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();

    /**
     * An empty table.
     *
     * @param directory made where it is missing
     * @param name of the table and its two files
     * @param seed the first run's
     * @param revision the version measured
     */
    public Results(Path directory, String name, long seed, String revision) {
        this.directory = directory;
        this.name = name;
        this.origin = "Seed " + seed + ", revision " + revision + ", " + machine() + ".";
    }

    private static String machine() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.availableProcessors() + " cores (" + System.getProperty("os.arch") + "), "
                + System.getProperty("java.vm.name") + " " + System.getProperty("java.vm.version")
                + ", heap of " + runtime.maxMemory() / (1 << 20) + " MiB at most";
    }

    /**
     * Adds a figure.
     *
     * @param figure what was measured
     * @param size at which size, such as "1000 x 300"
     * @param unit of the values; "" for ratios and counts
     * @param runs the value of each run, at least one
     */
    public synchronized void add(String figure, String size, String unit, double... runs) {
        if (runs.length == 0) {
            throw new IllegalArgumentException("no run of " + figure);
        }
        rows.add(new Row(figure, size, unit, runs.clone()));
        write();
    }

    /** Adds a sentence below the table: how something was measured, or what was left out. */
    public synchronized void note(String sentence) {
        notes.add(sentence);
        write();
    }

    private void write() {
        StringBuilder page = new StringBuilder("# " + name + "\n\n" + origin + "\n\n"
                + "| figure | size | median | least | most | runs | unit |\n"
                + "| --- | --- | ---: | ---: | ---: | ---: | --- |\n");
        StringBuilder csv = new StringBuilder("figure,size,median,least,most,runs,unit\n");
        for (Row r : rows) {
            List<String> cells = List.of(r.figure(), r.size(), text(r.quantile(0.5)), text(r.quantile(0)),
                    text(r.quantile(1)), Integer.toString(r.runs().length), r.unit());
            page.append("| ").append(String.join(" | ", cells)).append(" |\n");
            cells.forEach(c -> csv.append('"').append(c.replace("\"", "\"\"")).append("\","));
            csv.setCharAt(csv.length() - 1, '\n');
        }
        notes.forEach(n -> page.append("\n- ").append(n));
        page.append(notes.isEmpty() ? "" : "\n");
        try {
            Files.createDirectories(directory);
            replace(name + ".md", page);
            replace(name + ".csv", csv);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A command stopped in the middle leaves the file as it was before. */
    private void replace(String file, CharSequence content) throws IOException {
        Path written = Files.writeString(directory.resolve(file + ".part"), content);
        Files.move(written, directory.resolve(file), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Four significant digits, plain: neither exponents nor digits that no run supports. */
    private static String text(double value) {
        int digits = value == 0 || !Double.isFinite(value) ? 0
                : (int) Math.max(0, 3 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(digits, 6) + "f", value);
    }
}
