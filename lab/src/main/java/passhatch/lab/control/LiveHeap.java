package passhatch.lab.control;

import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The size of the live objects in the heap of this process. */
final class LiveHeap {

    private static final long RETRY_INTERVAL_MS = 500;
    private static final int MAX_ATTEMPTS = 20;
    /** The heap counts as stable when a collection leaves more than this part of the size before. */
    private static final double STABLE_RATIO = 0.99;

    private LiveHeap() { }

    /** Returns the used bytes after a full collection. */
    static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Returns the used bytes after all given references have been cleared and the size is stable, or the last
     * size seen if that takes over 10 s. Event loops release their objects only some time after their
     * shutdown was requested.
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
