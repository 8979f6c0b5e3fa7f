package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * The body of one request, forwarded from the client to a backend. Up to {@link #MAX_BUFFERED_BYTES} are
 * buffered, so that a body that is no longer can be sent again. The rest of a longer body is streamed: it is
 * read from the client only as fast as the backend takes it.
 */
final class RequestBody {

    /** Bytes that are buffered. A request with a body that is no longer is sent once it is complete. */
    static final int MAX_BUFFERED_BYTES = 1 << 16;
    private static final int INITIAL_CAPACITY_BYTES = 1 << 9;
    /** By how much the buffer grows while memory is scarce, in place of doubling. */
    private static final int SCARCE_GROWTH_BYTES = 1 << 12;

    /** The attempt to which the body is written. */
    interface Receiver {
        /** Writes bytes; the receiver must release them. */
        void write(ByteBuf bytes);

        /** Called once all of the body has been written. */
        void end();

        /** Whether more may be written now. */
        boolean isWritable();
    }

    /** The client's side of the body. */
    interface Source {
        /** Called when more may be read from the client. */
        void resumeReading();

        /** Called when bytes were sent that are not buffered, so that the body cannot be sent again. */
        void bodyDiscarded();
    }

    private final MemorySource memory;
    private final long declaredLength;
    private Source source;
    private byte[] buffer = {};
    private int bufferedBytes;
    /** Bytes reserved for the buffer, which are its capacity. */
    private int reservedBytes;
    /**
     * Parts that did not fit the buffer, until there is a receiver. As reading pauses then, they are no more
     * than one read brings.
     */
    private final Deque<ByteBuf> overflow = new ArrayDeque<>();
    private boolean complete;
    /** Whether parts were sent that are not buffered, and the buffer was released. */
    private boolean discarded;
    /** Whether the body will not be sent any more. */
    private boolean dropped;
    private Receiver receiver;
    private boolean endWritten;

    /**
     * Creates a body of which nothing has been received.
     *
     * @param declaredLength length in bytes according to the request's head, or -1 if it is not known
     */
    RequestBody(MemorySource memory, long declaredLength) {
        this.memory = memory;
        this.declaredLength = declaredLength;
    }

    void setSource(Source newSource) {
        source = newSource;
    }

    /** The length in bytes according to the request's head, or -1 if it is not known. */
    long declaredLength() {
        return declaredLength;
    }

    /** Whether all of it has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Whether more has been received than is buffered, so that sending cannot wait for the rest. */
    boolean exceedsBuffer() {
        return discarded || !overflow.isEmpty();
    }

    /** Whether no more may be read from the client until the receiver has taken what there is. */
    boolean mustPauseReading() {
        return exceedsBuffer() && (receiver == null || !receiver.isWritable());
    }

    /** Adds a part and forwards it if there is a receiver; false if there is no memory for it. */
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
        memory.hold(partBytes);
        writeOverflow();
        return true;
    }

    private boolean reserve(int neededBytes) {
        if (neededBytes > reservedBytes) {
            int grownBytes = memory.isScarce() ? reservedBytes + SCARCE_GROWTH_BYTES
                    : Math.max(INITIAL_CAPACITY_BYTES, reservedBytes * 2);
            int capacityBytes = Math.min(MAX_BUFFERED_BYTES, Math.max(neededBytes, grownBytes));
            if (!memory.reserve(capacityBytes - reservedBytes)) {
                return false;
            }
            reservedBytes = capacityBytes;
            buffer = Arrays.copyOf(buffer, capacityBytes);
        }
        return true;
    }

    /** Called when all of it has been received. */
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

    /** Whether all of it can be sent: nothing was discarded and no other attempt is receiving it. */
    boolean canBeSent() {
        return !discarded && !dropped && receiver == null;
    }

    /**
     * Starts to write it to an attempt, from its first byte.
     *
     * @throws IllegalStateException if it cannot be sent, see {@link #canBeSent()}
     */
    void attach(Receiver newReceiver) {
        if (!canBeSent()) {
            throw new IllegalStateException("the request body cannot be sent: part of it was discarded, its"
                    + " request has ended, or another attempt is receiving it");
        }
        receiver = newReceiver;
        endWritten = false;
        if (bufferedBytes > 0) {
            // Buffered bytes never change, more are only appended, so the receiver needs no copy.
            newReceiver.write(Unpooled.wrappedBuffer(buffer, 0, bufferedBytes));
        }
        resume();
    }

    /** Stops writing to an attempt that has ended. */
    void detach(Receiver formerReceiver) {
        if (receiver == formerReceiver) {
            receiver = null;
        }
    }

    /** Called when the receiver is able to take more. */
    void resume() {
        writeOverflow();
        endIfComplete();
        if (!complete && !mustPauseReading() && source != null) {
            source.resumeReading();
        }
    }

    /** Writes the parts that are not buffered. The buffer is released then, as no retry can use it. */
    private void writeOverflow() {
        boolean anyWritten = false;
        while (receiver != null && !overflow.isEmpty()) {
            anyWritten = true;
            ByteBuf part = overflow.poll();
            memory.release(part.readableBytes());
            receiver.write(part);
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
        memory.release(reservedBytes);
        reservedBytes = 0;
        buffer = new byte[0];
        bufferedBytes = 0;
    }

    /** Releases all of it, because it will not be sent any more. */
    void drop() {
        dropped = true;
        receiver = null;
        for (ByteBuf part : overflow) {
            memory.release(part.readableBytes());
            part.release();
        }
        overflow.clear();
        releaseBuffer();
    }

    /** Number of bytes that are buffered. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** A copy of the buffered bytes, which are the complete body unless {@link #exceedsBuffer()}. */
    byte[] bufferedContent() {
        return Arrays.copyOf(buffer, bufferedBytes);
    }
}
