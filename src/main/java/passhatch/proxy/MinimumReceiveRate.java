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
    /** Time for a head while others need the connection's place: slow clients take up to 2 s for one. */
    private static final long CONTENDED_HEAD_TIME_US = 2_300_000;
    /** Time from the head to the first bytes of the body while others need the connection's place. */
    private static final long CONTENDED_BODY_DELAY_US = 300_000;

    private long creditUntilUs;
    /** When the head of the request was complete. */
    private long headCompleteUs;

    /** Notes that the head of a request is complete, and discards the credit of the previous request. */
    void headCompleted(long nowUs) {
        creditUntilUs = 0;
        headCompleteUs = nowUs;
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

    /**
     * Whether a request is received too slowly to keep its connection while others need the place. The
     * minimum rate then applies to a body from its first byte on.
     *
     * @param headComplete whether its head is complete
     * @param startedAtUs when the request started
     */
    boolean isTooSlowIfContended(long nowUs, boolean headComplete, long startedAtUs) {
        return nowUs > (headComplete ? Math.max(headCompleteUs + CONTENDED_BODY_DELAY_US, creditUntilUs)
                : startedAtUs + CONTENDED_HEAD_TIME_US);
    }
}
