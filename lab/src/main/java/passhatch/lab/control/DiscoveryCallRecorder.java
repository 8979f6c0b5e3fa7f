package passhatch.lab.control;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import passhatch.lab.discovery.DiscoveryListener;

/** Counts what happens at discovery, for one interval after another. */
final class DiscoveryCallRecorder implements DiscoveryListener {

    private static final long MAX_RECORDED_US = TimeUnit.MINUTES.toMicros(10);
    private static final int SIGNIFICANT_DIGITS = 3;

    private Interval current = new Interval();

    /** What happened in one interval. */
    static final class Interval {
        private final long startNs = System.nanoTime();
        private long endNs;
        /** Times since the start of each call's arrival, microseconds. */
        private final Histogram arrivalsUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        private final PeakRate callRate = new PeakRate();
        /** How long calls waited, their own time included, microseconds. */
        private final Histogram waitsUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        private int rejectedCalls;
        private int maxQueueLength;
        private long receivedBytes;
        private long sentBytes;

        long callCount() {
            return arrivalsUs.getTotalCount();
        }

        Histogram arrivalsUs() {
            return arrivalsUs;
        }

        /** The most calls in a tenth of a second, as a rate a second. */
        double peakCallsPerSecond() {
            return callRate.peakPerSecond();
        }

        Histogram waitsUs() {
            return waitsUs;
        }

        int rejectedCalls() {
            return rejectedCalls;
        }

        int maxQueueLength() {
            return maxQueueLength;
        }

        /** Bytes from callers. */
        long receivedBytes() {
            return receivedBytes;
        }

        /** Bytes to callers. */
        long sentBytes() {
            return sentBytes;
        }

        double durationSeconds() {
            return (endNs - startNs) / 1e9;
        }
    }

    /** Ends the interval, returns it, and begins the next. */
    synchronized Interval startNextInterval() {
        Interval finished = current;
        finished.endNs = System.nanoTime();
        current = new Interval();
        return finished;
    }

    /** Calls answered 503 since the interval began. */
    synchronized int rejectedInCurrentInterval() {
        return current.rejectedCalls;
    }

    @Override
    public synchronized void callReceived(int queuedCalls) {
        long sinceStartNs = System.nanoTime() - current.startNs;
        current.arrivalsUs.recordValue(TimeUnit.NANOSECONDS.toMicros(sinceStartNs));
        current.callRate.add(sinceStartNs);
        current.maxQueueLength = Math.max(current.maxQueueLength, queuedCalls + 1);
    }

    @Override
    public synchronized void callServed(long waitedNs) {
        current.waitsUs.recordValue(TimeUnit.NANOSECONDS.toMicros(waitedNs));
    }

    @Override
    public synchronized void callRejected() {
        current.rejectedCalls++;
    }

    @Override
    public synchronized void bytesReceived(int bytes) {
        current.receivedBytes += bytes;
    }

    @Override
    public synchronized void bytesSent(int bytes) {
        current.sentBytes += bytes;
    }
}
