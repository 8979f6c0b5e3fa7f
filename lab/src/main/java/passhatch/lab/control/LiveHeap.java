package passhatch.lab.control;

import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What is alive in this process's heap. */
final class LiveHeap {

    private static final long PAUSE_MS = 500;
    private static final int MOST_PAUSES = 20;
    private static final double SETTLED = 0.99;

    private LiveHeap() { }

    /** Bytes, after a full collection. */
    static long bytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * The same once what was closed before is no longer held, and no more is let go of: event loops that were
     * told to end do so some time later.
     */
    static long bytesWithout(List<WeakReference<?>> closed) throws InterruptedException {
        long before = bytes();
        for (int i = 0; i < MOST_PAUSES; i++) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            long now = bytes();
            if (now > before * SETTLED && closed.stream().allMatch(c -> c.get() == null)) {
                return now;
            }
            before = now;
        }
        return before;
    }
}
