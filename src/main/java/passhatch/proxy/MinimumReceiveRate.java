package passhatch.proxy;

/**
 * Decides whether the requests of one client connection are received too slowly. Slow clients are served, but
 * one that sends next to nothing would occupy a connection and a backend. Times are in microseconds of the
 * proxy's clock.
 */
final class MinimumReceiveRate {

    /** Time from the start of a request during which no minimum rate applies. */
    private static final long GRACE_PERIOD_US = 2_600_000;
    /** Minimum rate after the grace period: a quarter of the rate at which known slow clients send. */
    private static final long MIN_BYTES_PER_SECOND = 16_000;
    /** A burst of bytes extends the time for the next ones by at most this. */
    private static final long MAX_CREDIT_US = 1_000_000;

    private long creditUntilUs;

    /** Discards the credit of the previous request. */
    void requestStarted() {
        creditUntilUs = 0;
    }

    /** Extends the time allowed for the request according to the number of bytes received. */
    void bytesReceived(long nowUs, long bytes) {
        long extendedUntilUs = Math.max(creditUntilUs, nowUs) + bytes * 1_000_000 / MIN_BYTES_PER_SECOND;
        creditUntilUs = Math.min(extendedUntilUs, nowUs + MAX_CREDIT_US);
    }

    /** Renews the time allowed while the proxy does not read: the delay is not the client's fault. */
    void readingPaused(long nowUs) {
        creditUntilUs = nowUs + MAX_CREDIT_US;
    }

    /** Whether a request that started at the given time is received too slowly. */
    boolean isTooSlow(long nowUs, long startedAtUs) {
        return nowUs > Math.max(startedAtUs + GRACE_PERIOD_US, creditUntilUs);
    }
}
