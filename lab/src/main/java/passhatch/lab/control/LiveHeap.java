package passhatch.lab.control;

/** What is alive in this process's heap. */
final class LiveHeap {

    private static final int COLLECTIONS = 2;

    private LiveHeap() { }

    /** Bytes, after full collections. */
    static long bytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
