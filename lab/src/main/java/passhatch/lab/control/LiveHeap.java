package passhatch.lab.control;

import java.lang.ref.WeakReference;
import java.util.concurrent.TimeUnit;

/** What is alive in this process's heap. */
final class LiveHeap {

    private static final long PAUSE_MS = 250;
    private static final int MOST_PAUSES = 40;

    private LiveHeap() { }

    /** Bytes, after a full collection. */
    static long bytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * The same once what was closed before is no longer held: event loops that were told to end let go of it
     * some time later.
     */
    static long bytesWithout(WeakReference<?> closed) throws InterruptedException {
        long bytes = bytes();
        for (int i = 0; i < MOST_PAUSES && closed.get() != null; i++) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            bytes = bytes();
        }
        return bytes;
    }
}
