package passhatch.lab;

/** Prints the progress of a command to standard error, each line with the seconds since its start. */
final class ProgressLog {

    private final long startNs = System.nanoTime();

    void print(String text) {
        System.err.printf("%6.1f s  %s%n", (System.nanoTime() - startNs) / 1e9, text);
    }
}
