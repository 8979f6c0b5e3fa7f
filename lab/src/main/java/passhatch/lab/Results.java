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

    private record Row(String measurement, String size, String unit, double[] values) {

        double quantile(double fraction) {
            double[] sorted = values.clone();
            Arrays.sort(sorted);
            double position = fraction * (sorted.length - 1);
            int below = (int) position;
            int above = Math.min(below + 1, sorted.length - 1);
            return sorted[below] + (position - below) * (sorted[above] - sorted[below]);
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
        this.origin = "Seed " + seed + ", revision " + revision + ", " + describeMachine() + ".";
    }

    private static String describeMachine() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.availableProcessors() + " cores (" + System.getProperty("os.arch") + "), "
                + System.getProperty("java.vm.name") + " " + System.getProperty("java.vm.version")
                + ", heap of " + runtime.maxMemory() / (1 << 20) + " MiB at most";
    }

    /**
     * Adds a figure.
     *
     * @param measurement what was measured
     * @param size at which size, such as "1000 x 300"
     * @param unit of the values; "" for ratios and counts
     * @param values the value of each run, at least one
     */
    public synchronized void add(String measurement, String size, String unit, double... values) {
        if (values.length == 0) {
            throw new IllegalArgumentException("no run of " + measurement);
        }
        rows.add(new Row(measurement, size, unit, values.clone()));
        write();
    }

    /** Adds a sentence below the table: how something was measured, or what was left out. */
    public synchronized void note(String sentence) {
        notes.add(sentence);
        write();
    }

    private void write() {
        StringBuilder markdown = new StringBuilder("# " + name + "\n\n" + origin + "\n\n"
                + "| figure | size | median | least | most | runs | unit |\n"
                + "| --- | --- | ---: | ---: | ---: | ---: | --- |\n");
        StringBuilder csv = new StringBuilder("figure,size,median,least,most,runs,unit\n");
        for (Row row : rows) {
            List<String> cells = List.of(row.measurement(), row.size(), format(row.quantile(0.5)),
                    format(row.quantile(0)),
                    format(row.quantile(1)), Integer.toString(row.values().length), row.unit());
            markdown.append("| ").append(String.join(" | ", cells)).append(" |\n");
            cells.forEach(c -> csv.append('"').append(c.replace("\"", "\"\"")).append("\","));
            csv.setCharAt(csv.length() - 1, '\n');
        }
        notes.forEach(n -> markdown.append("\n- ").append(n));
        markdown.append(notes.isEmpty() ? "" : "\n");
        try {
            Files.createDirectories(directory);
            replaceFile(name + ".md", markdown);
            replaceFile(name + ".csv", csv);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A command stopped in the middle leaves the file as it was before. */
    private void replaceFile(String fileName, CharSequence content) throws IOException {
        Path partialFile = Files.writeString(directory.resolve(fileName + ".part"), content);
        Files.move(partialFile, directory.resolve(fileName), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Four significant digits, plain: neither exponents nor digits that no run supports. */
    private static String format(double value) {
        int decimals = value == 0 || !Double.isFinite(value) ? 0
                : (int) Math.max(0, 3 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(decimals, 6) + "f", value);
    }
}
