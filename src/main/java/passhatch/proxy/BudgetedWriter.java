package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;

/**
 * Writes the parts of a body to a connection and counts them in a memory budget until the network has taken
 * them. Used by the event loop only.
 */
final class BudgetedWriter {

    private final Channel channel;
    private final MemoryBudget budget;
    private final Runnable onAllWritten;
    /** Bytes given to the connection that the network has not taken yet. */
    private int unwrittenBytes;

    /**
     * Creates a writer that has written nothing.
     *
     * @param onAllWritten called whenever the network has taken all that was written
     */
    BudgetedWriter(Channel channel, MemoryBudget budget, Runnable onAllWritten) {
        this.channel = channel;
        this.budget = budget;
        this.onAllWritten = onAllWritten;
    }

    /** Writes bytes, which are released, without flushing them. */
    void write(ByteBuf bytes) {
        int heldBytes = hold(bytes);
        count(channel.write(new DefaultHttpContent(bytes)), heldBytes);
    }

    /** Writes bytes, which are released, and flushes them. */
    void writeAndFlush(ByteBuf bytes) {
        int heldBytes = hold(bytes);
        count(channel.writeAndFlush(new DefaultHttpContent(bytes)), heldBytes);
    }

    private int hold(ByteBuf bytes) {
        int heldBytes = bytes.readableBytes();
        unwrittenBytes += heldBytes;
        budget.hold(heldBytes);
        return heldBytes;
    }

    private void count(ChannelFuture write, int heldBytes) {
        write.addListener(completed -> {
            unwrittenBytes -= heldBytes;
            budget.release(heldBytes);
            if (unwrittenBytes == 0 && completed.isSuccess()) {
                onAllWritten.run();
            }
        });
    }

    /**
     * Whether more should be written: always if the network has taken all, so that every transfer goes on,
     * however scarce memory is.
     */
    boolean isWritable() {
        return unwrittenBytes == 0 || channel.isWritable() && !budget.isScarce();
    }
}
