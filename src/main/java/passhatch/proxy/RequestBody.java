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
    static final int MAX_BUFFERED_BYTES = 1 << 16;
    private static final int INITIAL_CAPACITY_BYTES = 1 << 9;

    /** The attempt that is being written. */
    interface Receiver {
        /** Takes bytes, and the duty to release them. */
        void write(ByteBuf bytes);

        /** The body is whole. */
        void end();

        /** Whether more may be given now. */
        boolean isWritable();
    }

    /** The client's side. */
    interface Source {
        /** More may be read. */
        void resumeReading();

        /** Bytes that are not held went out: it cannot be sent again whole. */
        void bodyDiscarded();
    }

    private final BodyBudget budget;
    private final long declaredLength;
    private Source source;
    private byte[] buffer = {};
    private int bufferedBytes;
    private int reservedBytes;
    /** Bytes beyond those held, until there is a receiver: no more than one read brings. */
    private final Deque<ByteBuf> overflow = new ArrayDeque<>();
    private boolean complete;
    private boolean discarded;
    private boolean dropped;
    private Receiver receiver;
    private boolean endWritten;

    /**
     * A body of which nothing is in.
     *
     * @param declaredLength as told by its head, or -1
     */
    RequestBody(BodyBudget budget, long declaredLength) {
        this.budget = budget;
        this.declaredLength = declaredLength;
    }

    void setSource(Source newSource) {
        source = newSource;
    }

    long declaredLength() {
        return declaredLength;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether there is more of it than is held, so that it cannot wait until it is whole. */
    boolean exceedsBuffer() {
        return discarded || !overflow.isEmpty();
    }

    /** Whether the client must not be read now. */
    boolean mustPauseReading() {
        return exceedsBuffer() && (receiver == null || !receiver.isWritable());
    }

    /** Takes more of it; false where no memory is left to hold it. */
    boolean add(ByteBuf part) {
        int partBytes = part.readableBytes();
        if (dropped || partBytes == 0) {
            return true;
        }
        if (!exceedsBuffer() && bufferedBytes + partBytes <= MAX_BUFFERED_BYTES) {
            if (!reserve(bufferedBytes + partBytes)) {
                return false;
            }
            part.getBytes(part.readerIndex(), buffer, bufferedBytes, partBytes);
            bufferedBytes += partBytes;
            if (receiver != null) {
                receiver.write(part.retain());
            }
            return true;
        }
        overflow.add(part.retain());
        writeOverflow();
        return true;
    }

    private boolean reserve(int neededBytes) {
        if (neededBytes > reservedBytes) {
            int capacityBytes = Math.min(MAX_BUFFERED_BYTES,
                    Math.max(Math.max(INITIAL_CAPACITY_BYTES, neededBytes), reservedBytes * 2));
            if (!budget.reserve(capacityBytes - reservedBytes)) {
                return false;
            }
            reservedBytes = capacityBytes;
            buffer = Arrays.copyOf(buffer, capacityBytes);
        }
        return true;
    }

    /** All of it is in. */
    void end() {
        complete = true;
        endIfComplete();
    }

    private void endIfComplete() {
        if (complete && receiver != null && overflow.isEmpty() && !endWritten) {
            endWritten = true;
            receiver.end();
        }
    }

    /** Whether an attempt can be given all of it: nothing is lost, and no other attempt is in the middle. */
    boolean canBeSent() {
        return !discarded && !dropped && receiver == null;
    }

    /** Gives it to an attempt, from its first byte on. */
    void attach(Receiver newReceiver) {
        if (!canBeSent()) {
            throw new IllegalStateException("it cannot be sent again whole");
        }
        receiver = newReceiver;
        endWritten = false;
        if (bufferedBytes > 0) {
            // Bytes that are held never change; more may only come behind them.
            newReceiver.write(Unpooled.wrappedBuffer(buffer, 0, bufferedBytes));
        }
        resume();
    }

    /** The attempt has ended: it gets no more. */
    void detach(Receiver formerReceiver) {
        if (receiver == formerReceiver) {
            receiver = null;
        }
    }

    /** The attempt may be given more. */
    void resume() {
        writeOverflow();
        endIfComplete();
        if (!complete && !mustPauseReading() && source != null) {
            source.resumeReading();
        }
    }

    /** Passes on what is not held. From then on the held part is of no use. */
    private void writeOverflow() {
        boolean anyWritten = false;
        while (receiver != null && !overflow.isEmpty()) {
            anyWritten = true;
            receiver.write(overflow.poll());
        }
        if (anyWritten && !discarded) {
            discarded = true;
            releaseBuffer();
            if (source != null) {
                source.bodyDiscarded();
            }
        }
    }

    private void releaseBuffer() {
        budget.release(reservedBytes);
        reservedBytes = 0;
        buffer = new byte[0];
        bufferedBytes = 0;
    }

    /** Lets go of all of it: it will not be sent any more. */
    void drop() {
        dropped = true;
        receiver = null;
        overflow.forEach(ByteBuf::release);
        overflow.clear();
        releaseBuffer();
    }

    /** How many bytes are held. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** What is held, where that is all of it. */
    byte[] bufferedContent() {
        return Arrays.copyOf(buffer, bufferedBytes);
    }
}
