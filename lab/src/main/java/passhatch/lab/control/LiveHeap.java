package passhatch.lab.control;

import java.util.concurrent.TimeUnit;

/** What is alive in this process's heap. */
final class LiveHeap {

    /** Threads that end let go of what they hold only some time after they were told to. */
    private static final long PAUSE_MS = 500;
    private static final int MOST_PAUSES = 8;
    private static final double SETTLED = 0.99;

    private LiveHeap() { }

    /** Bytes, after full collections, once no more is let go of. */
    static long settledBytes() throws InterruptedException {
        long before = bytes();
        for (int i = 0; i < MOST_PAUSES; i++) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            long now = bytes();
            if (now > before * SETTLED) {
                return now;
            }
            before = now;
        }
        return before;
    }

    private static long bytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
