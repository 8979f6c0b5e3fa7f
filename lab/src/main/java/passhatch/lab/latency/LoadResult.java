package passhatch.lab.latency;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What became of a load. It is written by one thread, and read when the load is over. */
final class LoadResult {

    private static final long MAX_RECORDED_US = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final int planned;
    private final Histogram latencyUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private final Histogram sendDelayUs = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);
    private int sent;
    private int notServed;

    LoadResult(int planned) {
        this.planned = planned;
    }

    void sent(long sendDelayNs) {
        sent++;
        sendDelayUs.recordValue(TimeUnit.NANOSECONDS.toMicros(sendDelayNs));
    }

    void served(long latencyNs) {
        latencyUs.recordValue(TimeUnit.NANOSECONDS.toMicros(latencyNs));
    }

    void notServed() {
        notServed++;
    }

    /** Requests that were to be sent. */
    int planned() {
        return planned;
    }

    /** Requests that were written to a connection. */
    int sent() {
        return sent;
    }

    /** Requests that were answered 200. */
    int served() {
        return (int) latencyUs.getTotalCount();
    }

    /** Requests that ended in another way. */
    int ended() {
        return served() + notServed;
    }

    /** From when a request was planned to the last byte of its answer, microseconds; answers of 200 alone. */
    Histogram latencyUs() {
        return latencyUs;
    }

    /** How long after its planned time each request was written, microseconds. */
    Histogram sendDelayUs() {
        return sendDelayUs;
    }
}
