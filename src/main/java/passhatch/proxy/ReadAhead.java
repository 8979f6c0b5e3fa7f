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
final class ReadAhead {

    private static final int MOST = 1 << 18;
    /** What a head takes about, and what surrounds a piece of a body. */
    private static final int HEAD = 1 << 9;
    private static final int FRAME = 1 << 6;

    /** A part of a request, and when it came in. */
    record Part(HttpObject part, long atUs) {
        private int size() {
            return part instanceof HttpContent content ? FRAME + content.content().readableBytes() : HEAD;
        }
    }

    private final BodyBudget budget;
    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private int held;
    private int reserved;

    ReadAhead(BodyBudget budget) {
        this.budget = budget;
    }

    void add(HttpObject part, long nowUs) {
        Part added = new Part(ReferenceCountUtil.retain(part), nowUs);
        parts.add(added);
        held += added.size();
        if (budget.reserve(held - reserved)) {
            reserved = held;
        }
    }

    /** The next part, with the duty to release it; null where none is held. */
    Part poll() {
        Part next = parts.poll();
        if (next != null) {
            held -= next.size();
            giveBack(Math.max(0, reserved - held));
        }
        return next;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether no more may be read now: for this connection, or for all of them together. */
    boolean isFull() {
        return held > MOST || held > reserved;
    }

    /** Lets go of all of it. */
    void drop() {
        parts.forEach(p -> ReferenceCountUtil.release(p.part()));
        parts.clear();
        held = 0;
        giveBack(reserved);
    }

    private void giveBack(int bytes) {
        reserved -= bytes;
        budget.release(bytes);
    }
}
