package passhatch.lab.control;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** The highest rate of events over a sliding window of 0.1 s. Not thread-safe. */
final class PeakRate {

    private static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ArrayDeque<Long> recentNs = new ArrayDeque<>();
    private int maxEvents;

    /** Records an event at a time in nanoseconds; times must not decrease. */
    void add(long atNs) {
        recentNs.add(atNs);
        while (recentNs.peek() <= atNs - WINDOW_NS) {
            recentNs.poll();
        }
        maxEvents = Math.max(maxEvents, recentNs.size());
    }

    /** Highest rate so far, in events per second. */
    double peakPerSecond() {
        return maxEvents * (double) TimeUnit.SECONDS.toNanos(1) / WINDOW_NS;
    }
}
