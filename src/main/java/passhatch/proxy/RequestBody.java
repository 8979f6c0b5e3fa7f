package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * The body of one request on its way from the client to a backend. Its first bytes are held, so that it can
 * be sent again while there are no more; what follows passes through at the pace of whoever receives it.
 */
final class RequestBody {

    /** The bytes that are held: a request with no more is sent once it is whole. */
    static final int HELD = 1 << 16;
    private static final int FIRST_CAPACITY = 1 << 9;

    /** The attempt that is being written. */
    interface Receiver {
        /** Takes bytes, and the duty to release them. */
        void part(ByteBuf bytes);

        /** The body is whole. */
        void end();

        /** Whether more may be given now. */
        boolean isWritable();
    }

    /** The client's side. */
    interface Source {
        /** More may be read. */
        void readOn();

        /** Bytes that are not held went out: it cannot be sent again whole. */
        void spent();
    }

    private final BodyBudget budget;
    private final long length;
    private Source source;
    private byte[] held = {};
    private int size;
    private int reserved;
    /** Bytes beyond those held, until there is a receiver: no more than one read brings. */
    private final Deque<ByteBuf> beyond = new ArrayDeque<>();
    private boolean whole;
    private boolean spent;
    private boolean dropped;
    private Receiver receiver;
    private boolean endGiven;

    /**
     * A body of which nothing is in.
     *
     * @param length as told by its head, or -1
     */
    RequestBody(BodyBudget budget, long length) {
        this.budget = budget;
        this.length = length;
    }

    void source(Source other) {
        source = other;
    }

    long length() {
        return length;
    }

    boolean isWhole() {
        return whole;
    }

    /** Whether there is more of it than is held, so that it cannot wait until it is whole. */
    boolean isLong() {
        return spent || !beyond.isEmpty();
    }

    /** Whether the client must not be read now. */
    boolean isFull() {
        return isLong() && (receiver == null || !receiver.isWritable());
    }

    /** Takes more of it; false where no memory is left to hold it. */
    boolean add(ByteBuf more) {
        int bytes = more.readableBytes();
        if (dropped || bytes == 0) {
            return true;
        }
        if (!isLong() && size + bytes <= HELD) {
            if (!reserve(size + bytes)) {
                return false;
            }
            more.getBytes(more.readerIndex(), held, size, bytes);
            size += bytes;
            if (receiver != null) {
                receiver.part(more.retain());
            }
            return true;
        }
        beyond.add(more.retain());
        pass();
        return true;
    }

    private boolean reserve(int most) {
        if (most > reserved) {
            int capacity = Math.min(HELD, Math.max(Math.max(FIRST_CAPACITY, most), reserved * 2));
            if (!budget.reserve(capacity - reserved)) {
                return false;
            }
            reserved = capacity;
            held = Arrays.copyOf(held, capacity);
        }
        return true;
    }

    /** All of it is in. */
    void end() {
        whole = true;
        endIfDone();
    }

    private void endIfDone() {
        if (whole && receiver != null && beyond.isEmpty() && !endGiven) {
            endGiven = true;
            receiver.end();
        }
    }

    /** Whether an attempt can be given all of it: nothing is lost, and no other attempt is in the middle. */
    boolean canBeSent() {
        return !spent && !dropped && receiver == null;
    }

    /** Gives it to an attempt, from its first byte on. */
    void attach(Receiver to) {
        if (!canBeSent()) {
            throw new IllegalStateException("it cannot be sent again whole");
        }
        receiver = to;
        endGiven = false;
        if (size > 0) {
            // Bytes that are held never change; more may only come behind them.
            to.part(Unpooled.wrappedBuffer(held, 0, size));
        }
        resume();
    }

    /** The attempt has ended: it gets no more. */
    void detach(Receiver from) {
        if (receiver == from) {
            receiver = null;
        }
    }

    /** The attempt may be given more. */
    void resume() {
        pass();
        endIfDone();
        if (!whole && !isFull() && source != null) {
            source.readOn();
        }
    }

    /** Passes on what is not held. From then on the held part is of no use. */
    private void pass() {
        boolean any = false;
        while (receiver != null && !beyond.isEmpty()) {
            any = true;
            receiver.part(beyond.poll());
        }
        if (any && !spent) {
            spent = true;
            release();
            if (source != null) {
                source.spent();
            }
        }
    }

    private void release() {
        budget.release(reserved);
        reserved = 0;
        held = new byte[0];
        size = 0;
    }

    /** Lets go of all of it: it will not be sent any more. */
    void drop() {
        dropped = true;
        receiver = null;
        beyond.forEach(ByteBuf::release);
        beyond.clear();
        release();
    }

    /** How many bytes are held. */
    int size() {
        return size;
    }

    /** What is held, where that is all of it. */
    byte[] bytes() {
        return Arrays.copyOf(held, size);
    }
}
