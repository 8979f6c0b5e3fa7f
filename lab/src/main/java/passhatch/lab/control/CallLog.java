package passhatch.lab.control;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import passhatch.lab.discovery.DiscoveryListener;

/** Counts what happens at discovery, for one interval after another. */
final class CallLog implements DiscoveryListener {

    private static final long LONGEST_WAIT_US = TimeUnit.MINUTES.toMicros(10);
    private static final int DIGITS = 3;

    private Interval current = new Interval();

    /** What happened in one interval. */
    static final class Interval {
        private final long startNs = System.nanoTime();
        private long endNs;
        /** Times since the start of each call's arrival, microseconds. */
        private final Histogram arrivalsUs = new Histogram(LONGEST_WAIT_US, DIGITS);
        private final RateWindow rate = new RateWindow();
        /** How long calls waited, their own time included, microseconds. */
        private final Histogram waitsUs = new Histogram(LONGEST_WAIT_US, DIGITS);
        private int turnedAway;
        private int longestQueue;
        private long received;
        private long sent;

        long calls() {
            return arrivalsUs.getTotalCount();
        }

        Histogram arrivalsUs() {
            return arrivalsUs;
        }

        /** The most calls in a tenth of a second, as a rate a second. */
        double peakPerSecond() {
            return rate.peakPerSecond();
        }

        Histogram waitsUs() {
            return waitsUs;
        }

        int turnedAway() {
            return turnedAway;
        }

        int longestQueue() {
            return longestQueue;
        }

        /** Bytes from callers. */
        long received() {
            return received;
        }

        /** Bytes to callers. */
        long sent() {
            return sent;
        }

        double seconds() {
            return (endNs - startNs) / 1e9;
        }
    }

    /** Ends the interval, returns it, and begins the next. */
    synchronized Interval next() {
        Interval over = current;
        over.endNs = System.nanoTime();
        current = new Interval();
        return over;
    }

    /** Calls answered 503 since the interval began. */
    synchronized int turnedAwayInInterval() {
        return current.turnedAway;
    }

    @Override
    public synchronized void called(int waiting) {
        long sinceNs = System.nanoTime() - current.startNs;
        current.arrivalsUs.recordValue(TimeUnit.NANOSECONDS.toMicros(sinceNs));
        current.rate.add(sinceNs);
        current.longestQueue = Math.max(current.longestQueue, waiting + 1);
    }

    @Override
    public synchronized void served(long waitedNs) {
        current.waitsUs.recordValue(TimeUnit.NANOSECONDS.toMicros(waitedNs));
    }

    @Override
    public synchronized void turnedAway() {
        current.turnedAway++;
    }

    @Override
    public synchronized void received(int bytes) {
        current.received += bytes;
    }

    @Override
    public synchronized void sent(int bytes) {
        current.sent += bytes;
    }
}
