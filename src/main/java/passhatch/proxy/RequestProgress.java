package passhatch.proxy;

/**
 * The progress of the request that a client is sending: since when, how fast, and when it can have written
 * the last byte. Used by the event loop only; times are in microseconds of the proxy's clock.
 */
final class RequestProgress {

    private final MinimumReceiveRate receiveRate = new MinimumReceiveRate();
    private final RequestEndEstimate end = new RequestEndEstimate();
    /** When the first bytes arrived of a request that is incomplete; 0 if there is none. */
    private long incompleteSinceUs;

    /** Whether a request has arrived in part. */
    boolean isIncomplete() {
        return incompleteSinceUs > 0;
    }

    /** When the first bytes of the incomplete request arrived; 0 if there is none. */
    long incompleteSinceUs() {
        return incompleteSinceUs;
    }

    /** Notes that a request has arrived in part. */
    void noteIncomplete(long nowUs) {
        if (incompleteSinceUs == 0) {
            incompleteSinceUs = nowUs;
        }
    }

    /** Notes that no request is incomplete. */
    void noteNone() {
        incompleteSinceUs = 0;
    }

    /**
     * Notes that the head of a request has been handled.
     *
     * @param length length of its body in bytes, or -1 if it is not known
     */
    void headHandled(long nowUs, long length) {
        receiveRate.headCompleted(nowUs);
        end.start(nowUs, length);
    }

    /** Notes that part of the body has been handled. */
    void bodyHandled(long nowUs, int bytes) {
        receiveRate.bytesReceived(nowUs, bytes);
        end.handled(nowUs, bytes);
    }

    /** Notes that nothing is read from the client now, so that it cannot be blamed for being slow. */
    void readingPaused(long nowUs) {
        receiveRate.readingPaused(nowUs);
    }

    /** Whether it is received too slowly. */
    boolean isTooSlow(long nowUs, long startedAtUs) {
        return receiveRate.isTooSlow(nowUs, startedAtUs);
    }

    /** Whether it is received too slowly to keep a place that others need. */
    boolean isTooSlowIfContended(long nowUs, boolean headReceived, long startedAtUs) {
        return receiveRate.isTooSlowIfContended(nowUs, headReceived, startedAtUs);
    }

    /** Whether the client can have written the last byte by now. */
    boolean mayHaveEnded() {
        return end.isPossible();
    }

    /** The earliest time of the last byte if it was not written before the given time. */
    long earliestEndUs(long notBeforeUs) {
        return end.earliestUs(notBeforeUs);
    }
}
