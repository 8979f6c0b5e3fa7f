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
 * A table of measurements, with the seed, the machine and the revision that they were taken with. It is
 * written to NAME.md and NAME.csv after each measurement, so that a command that is stopped leaves what it
 * has measured. Thread-safe.
 */
public final class Results {

    /** One measurement with the values of all runs, in the order of the runs. */
    private record Row(String measurement, String size, String unit, double[] values) {

        /** Returns the quantile of a fraction from 0 to 1, interpolated linearly between two values. */
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
     * Creates an empty table; no file is written before the first measurement or note.
     *
     * @param directory where the files are written; created if it is missing
     * @param name name of the table and of its two files
     * @param seed seed of the first run
     * @param revision revision of the code that is measured
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
     * Adds a measurement and writes the table.
     *
     * @param measurement what was measured
     * @param size the size at which it was measured, such as "1000 x 300"
     * @param unit unit of the values; "" for ratios and counts
     * @param values the value of each run, at least one
     * @throws IllegalArgumentException if there is no value
     * @throws UncheckedIOException if the table can't be written
     */
    public synchronized void add(String measurement, String size, String unit, double... values) {
        if (values.length == 0) {
            throw new IllegalArgumentException("no values given for measurement " + measurement);
        }
        rows.add(new Row(measurement, size, unit, values.clone()));
        write();
    }

    /**
     * Adds a sentence below the table, on how something was measured or what was left out, and writes the
     * table.
     *
     * @throws UncheckedIOException if the table can't be written
     */
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

    /** Replaces the file in one step: a command that is stopped while it writes leaves the previous file. */
    private void replaceFile(String fileName, CharSequence content) throws IOException {
        Path partialFile = Files.writeString(directory.resolve(fileName + ".part"), content);
        Files.move(partialFile, directory.resolve(fileName), StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Formats a value with about four significant digits, at most six decimals and no exponent, as the runs
     * don't support more digits.
     */
    private static String format(double value) {
        int decimals = value == 0 || !Double.isFinite(value) ? 0
                : (int) Math.max(0, 3 - Math.floor(Math.log10(Math.abs(value))));
        return String.format(Locale.ROOT, "%." + Math.min(decimals, 6) + "f", value);
    }
}
