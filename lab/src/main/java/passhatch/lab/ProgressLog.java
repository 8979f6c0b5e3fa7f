package passhatch.lab;

/** Lines on standard error that tell how far a command has come. */
final class ProgressLog {

    private final long startNs = System.nanoTime();

    void print(String text) {
        System.err.printf("%6.1f s  %s%n", (System.nanoTime() - startNs) / 1e9, text);
    }
}
