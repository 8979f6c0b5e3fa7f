package passhatch.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The decision module's clock, in microseconds. It starts at the Unix time at which this process started and
 * then follows the monotonic clock. So it can be compared with Unix times from discovery directly, and a
 * step of the wall clock neither moves it back nor makes a known start time of a backend look like a new
 * one.
 */
final class Clock {

    private final long originUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    private final LongSupplier nanoTime;
    private final long originNs;

    Clock() {
        this(System::nanoTime);
    }

    /** A clock that follows the given source of monotonic nanoseconds. */
    Clock(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.originNs = nanoTime.getAsLong();
    }

    /** The current time in microseconds. */
    long nowUs() {
        return originUs + (nanoTime.getAsLong() - originNs) / 1000;
    }

    /** Converts a Unix time in milliseconds to this clock; 0, which means long ago, remains 0. */
    static long fromUnixMs(long unixMs) {
        return TimeUnit.MILLISECONDS.toMicros(unixMs);
    }
}
