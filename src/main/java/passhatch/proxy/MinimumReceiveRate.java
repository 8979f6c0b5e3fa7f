package passhatch.proxy;

/**
 * How fast a request comes in. A client may be slow, but one that sends next to nothing keeps a connection
 * and a backend for nothing.
 */
final class MinimumReceiveRate {

    /** A request may take this long whatever its pace. */
    private static final long GRACE_PERIOD_US = 2_600_000;
    /** After that every so many bytes buy a second: a quarter of what a slow client is known to send. */
    private static final long MIN_BYTES_PER_SECOND = 16_000;
    /** But no more than this ahead. */
    private static final long MAX_CREDIT_US = 1_000_000;

    private long creditUntilUs;

    /** A new request begins. */
    void requestStarted() {
        creditUntilUs = 0;
    }

    void bytesReceived(long nowUs, long bytes) {
        long extendedUntilUs = Math.max(creditUntilUs, nowUs) + bytes * 1_000_000 / MIN_BYTES_PER_SECOND;
        creditUntilUs = Math.min(extendedUntilUs, nowUs + MAX_CREDIT_US);
    }

    /** It is this proxy that does not read: the client's time stands still. */
    void readingPaused(long nowUs) {
        creditUntilUs = nowUs + MAX_CREDIT_US;
    }

    /** Whether a request that began then is too slow. */
    boolean isTooSlow(long nowUs, long startedAtUs) {
        return nowUs > Math.max(startedAtUs + GRACE_PERIOD_US, creditUntilUs);
    }
}
