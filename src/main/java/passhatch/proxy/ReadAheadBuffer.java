package passhatch.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * What a client has sent beyond what is handled yet. A connection is read on while its requests wait, as the
 * client's end stands behind all that it sent, and whoever does not read does not see it. Only so much is
 * held; beyond that the network holds the client back, and the connection is blind to its end.
 */
final class ReadAheadBuffer {

    private static final int MAX_BUFFERED_BYTES = 1 << 18;
    /** What a head takes about, and what surrounds a piece of a body. */
    private static final int ESTIMATED_HEAD_BYTES = 1 << 9;
    private static final int ESTIMATED_CHUNK_OVERHEAD_BYTES = 1 << 6;

    /** A part of a request, and when it came in. */
    record ReceivedPart(HttpObject part, long receivedAtUs) {
        private int estimatedBytes() {
            return part instanceof HttpContent content ? ESTIMATED_CHUNK_OVERHEAD_BYTES
                    + content.content().readableBytes() : ESTIMATED_HEAD_BYTES;
        }
    }

    private final BodyBudget budget;
    private final ArrayDeque<ReceivedPart> parts = new ArrayDeque<>();
    private int bufferedBytes;
    private int reservedBytes;

    ReadAheadBuffer(BodyBudget budget) {
        this.budget = budget;
    }

    void add(HttpObject part, long nowUs) {
        ReceivedPart received = new ReceivedPart(ReferenceCountUtil.retain(part), nowUs);
        parts.add(received);
        bufferedBytes += received.estimatedBytes();
        if (budget.reserve(bufferedBytes - reservedBytes)) {
            reservedBytes = bufferedBytes;
        }
    }

    /** The next part, with the duty to release it; null where none is held. */
    ReceivedPart poll() {
        ReceivedPart next = parts.poll();
        if (next != null) {
            bufferedBytes -= next.estimatedBytes();
            releaseReservation(Math.max(0, reservedBytes - bufferedBytes));
        }
        return next;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether no more may be read now: for this connection, or for all of them together. */
    boolean isFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES || bufferedBytes > reservedBytes;
    }

    /** Lets go of all of it. */
    void releaseAll() {
        parts.forEach(received -> ReferenceCountUtil.release(received.part()));
        parts.clear();
        bufferedBytes = 0;
        releaseReservation(reservedBytes);
    }

    private void releaseReservation(int bytes) {
        reservedBytes -= bytes;
        budget.release(bytes);
    }
}
