package passhatch.lab.latency;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** The result of a load. Written by one thread and read only after the load has ended. */
final class LoadResult {

    /** Longest time that the histograms can hold. */
    private static final long MAX_RECORDED_US = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final int planned;
    private final Histogram latencyUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private final Histogram sendDelayUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private int sent;
    private int notServed;

    /** Creates the result of a load of {@code planned} requests. */
    LoadResult(int planned) {
        this.planned = planned;
    }

    /** Records that a request was written this long after its planned time. */
    void sent(long sendDelayNs) {
        sent++;
        sendDelayUs.recordValue(TimeUnit.NANOSECONDS.toMicros(sendDelayNs));
    }

    /** Records that a request was answered 200 this long after its planned time. */
    void served(long latencyNs) {
        latencyUs.recordValue(TimeUnit.NANOSECONDS.toMicros(latencyNs));
    }

    /** Records that a request ended in any other way. */
    void notServed() {
        notServed++;
    }

    /** Number of requests that the load planned to send. */
    int planned() {
        return planned;
    }

    /** Number of requests that were written to a connection. */
    int sent() {
        return sent;
    }

    /** Number of requests that were answered 200. */
    int served() {
        return (int) latencyUs.getTotalCount();
    }

    /** Number of requests that have ended, served or not. */
    int ended() {
        return served() + notServed;
    }

    /**
     * Time from a request's planned time to the last byte of its response, in microseconds; only for status
     * 200.
     */
    Histogram latencyUs() {
        return latencyUs;
    }

    /** Time from each request's planned time until it was written, in microseconds. */
    Histogram sendDelayUs() {
        return sendDelayUs;
    }
}
