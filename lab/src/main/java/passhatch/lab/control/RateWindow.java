package passhatch.lab.control;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** The highest rate of events over a sliding tenth of a second. */
final class RateWindow {

    private static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ArrayDeque<Long> recent = new ArrayDeque<>();
    private int most;

    /** An event, at a time that is not before that of the last one. */
    void add(long atNs) {
        recent.add(atNs);
        while (recent.peek() <= atNs - WINDOW_NS) {
            recent.poll();
        }
        most = Math.max(most, recent.size());
    }

    double peakPerSecond() {
        return most * (double) TimeUnit.SECONDS.toNanos(1) / WINDOW_NS;
    }
}
