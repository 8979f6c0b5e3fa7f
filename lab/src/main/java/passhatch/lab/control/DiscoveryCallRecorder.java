package passhatch.lab.control;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import passhatch.lab.discovery.DiscoveryListener;

/** Records calls to discovery and their traffic in consecutive intervals. Thread-safe. */
final class DiscoveryCallRecorder implements DiscoveryListener {

    /** Longest wait that the histograms can hold. */
    private static final long MAX_RECORDED_US = TimeUnit.MINUTES.toMicros(10);
    private static final int SIGNIFICANT_DIGITS = 3;

    private Interval current = new Interval();

    /** The calls and bytes of one interval. */
    static final class Interval {
        private final long startNs = System.nanoTime();
        private long endNs;
        /** Arrival time of each call since the start of the interval, in microseconds. */
        private final Histogram arrivalsUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        private final PeakRate callRate = new PeakRate();
        /** Time from the arrival of each served call to its response, in microseconds. */
        private final Histogram waitsUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
        private int rejectedCalls;
        private int maxQueueLength;
        private long receivedBytes;
        private long sentBytes;

        /** Number of calls that arrived. */
        long callCount() {
            return arrivalsUs.getTotalCount();
        }

        /** Arrival time of each call since the start of the interval, in microseconds. */
        Histogram arrivalsUs() {
            return arrivalsUs;
        }

        /** Highest number of calls within 0.1 s, as calls per second. */
        double peakCallsPerSecond() {
            return callRate.peakPerSecond();
        }

        /** Time from the arrival of each served call to its response, in microseconds. */
        Histogram waitsUs() {
            return waitsUs;
        }

        /** Number of calls answered 503. */
        int rejectedCalls() {
            return rejectedCalls;
        }

        /** Largest number of queued calls, including the one that just arrived. */
        int maxQueueLength() {
            return maxQueueLength;
        }

        /** Bytes that discovery read from callers. */
        long receivedBytes() {
            return receivedBytes;
        }

        /** Bytes that discovery wrote to callers. */
        long sentBytes() {
            return sentBytes;
        }

        /** Length of the interval in seconds; defined only for a finished interval. */
        double durationSeconds() {
            return (endNs - startNs) / 1e9;
        }
    }

    /** Finishes the current interval, starts the next one and returns the finished one. */
    synchronized Interval startNextInterval() {
        Interval finished = current;
        finished.endNs = System.nanoTime();
        current = new Interval();
        return finished;
    }

    /** Number of calls answered 503 since the current interval started. */
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
