package passhatch.proxy;

import java.util.ArrayDeque;

/**
 * Estimates when a client can have written the last byte of a request at the earliest. A client's time runs
 * from that byte, which may wait unread for long if the server reads slowly. What a client has written and
 * the proxy has not read fits into the buffers of the system: as long as more is missing, or more came since,
 * the last byte was not written. Used by the event loop only; times are in microseconds of the proxy's clock.
 */
final class RequestEndEstimate {

    /** What Linux holds by default of a client's writes: a send buffer of 4 MiB and some to be read. */
    static final long MAX_UNREAD_BYTES = 5L << 20;
    /** Bytes from one mark to the next. */
    private static final long MARK_INTERVAL_BYTES = 1L << 19;

    /** How much of the body had been handled at a time. */
    private record Mark(long handledBytes, long atUs) { }

    private final ArrayDeque<Mark> marks = new ArrayDeque<>();
    private long declaredLength;
    private long handledBytes;
    private long nextMarkBytes;
    private long possibleSinceUs;

    /**
     * Starts with a request of whose body nothing has been handled.
     *
     * @param length length of its body in bytes, or -1 if it is not known
     */
    void start(long nowUs, long length) {
        marks.clear();
        declaredLength = length;
        handledBytes = 0;
        nextMarkBytes = 0;
        possibleSinceUs = nowUs;
        handled(nowUs, 0);
    }

    /** Notes that more of the body has been handled. */
    void handled(long nowUs, int bytes) {
        handledBytes += bytes;
        if (!isPossible()) {
            possibleSinceUs = nowUs;
            return;
        }
        if (handledBytes >= nextMarkBytes) {
            marks.add(new Mark(handledBytes, nowUs));
            nextMarkBytes = handledBytes + MARK_INTERVAL_BYTES;
        }
        while (marks.peek().handledBytes() < handledBytes - MAX_UNREAD_BYTES) {
            possibleSinceUs = marks.poll().atUs();
        }
    }

    /** Whether the last byte can have been written by now. */
    boolean isPossible() {
        return declaredLength - handledBytes <= MAX_UNREAD_BYTES;
    }

    /** The earliest time of the last byte if it was not written before the given time. */
    long earliestUs(long notBeforeUs) {
        return Math.max(notBeforeUs, possibleSinceUs);
    }
}
