package passhatch.lab.control;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** The highest rate of events over a sliding tenth of a second. */
final class PeakRate {

    private static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ArrayDeque<Long> recentNs = new ArrayDeque<>();
    private int maxEvents;

    /** An event, at a time that is not before that of the last one. */
    void add(long atNs) {
        recentNs.add(atNs);
        while (recentNs.peek() <= atNs - WINDOW_NS) {
            recentNs.poll();
        }
        maxEvents = Math.max(maxEvents, recentNs.size());
    }

    double peakPerSecond() {
        return maxEvents * (double) TimeUnit.SECONDS.toNanos(1) / WINDOW_NS;
    }
}
