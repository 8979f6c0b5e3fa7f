package passhatch.proxy;

/**
 * How fast a request comes in. A client may be slow, but one that sends next to nothing keeps a connection
 * and a backend for nothing.
 */
final class ArrivalPace {

    /** A request may take this long whatever its pace. */
    private static final long FREE_US = 2_600_000;
    /** After that every so many bytes buy a second: a quarter of what a slow client is known to send. */
    private static final long BYTES_A_SECOND = 16_000;
    /** But no more than this ahead. */
    private static final long MOST_AHEAD_US = 1_000_000;

    private long paidUntilUs;

    /** A new request begins. */
    void begin() {
        paidUntilUs = 0;
    }

    void got(long nowUs, long bytes) {
        long bought = Math.max(paidUntilUs, nowUs) + bytes * 1_000_000 / BYTES_A_SECOND;
        paidUntilUs = Math.min(bought, nowUs + MOST_AHEAD_US);
    }

    /** It is this proxy that does not read: the client's time stands still. */
    void hold(long nowUs) {
        paidUntilUs = nowUs + MOST_AHEAD_US;
    }

    /** Whether a request that began then is too slow. */
    boolean isOver(long nowUs, long sinceUs) {
        return nowUs > Math.max(sinceUs + FREE_US, paidUntilUs);
    }
}
