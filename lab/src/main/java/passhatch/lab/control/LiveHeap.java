package passhatch.lab.control;

import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What is alive in this process's heap. */
final class LiveHeap {

    private static final long RETRY_INTERVAL_MS = 500;
    private static final int MAX_ATTEMPTS = 20;
    private static final double STABLE_RATIO = 0.99;

    private LiveHeap() { }

    /** Bytes, after a full collection. */
    static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * The same once what was closed before is no longer held, and no more is let go of: event loops that were
     * told to end do so some time later.
     */
    static long usedBytesWithout(List<WeakReference<?>> closed) throws InterruptedException {
        long previousBytes = usedBytes();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
            long currentBytes = usedBytes();
            if (currentBytes > previousBytes * STABLE_RATIO
                    && closed.stream().allMatch(c -> c.get() == null)) {
                return currentBytes;
            }
            previousBytes = currentBytes;
        }
        return previousBytes;
    }
}
