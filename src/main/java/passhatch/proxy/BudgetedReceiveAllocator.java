package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;

/** Reads a socket in smaller pieces than its delegate would while a memory budget is scarce. */
final class BudgetedReceiveAllocator implements RecvByteBufAllocator {

    private final RecvByteBufAllocator delegate;
    private final MemoryBudget budget;

    BudgetedReceiveAllocator(RecvByteBufAllocator delegate, MemoryBudget budget) {
        this.delegate = delegate;
        this.budget = budget;
    }

    /** Whether the last read took all that there was; the event loop may stop reading before that. */
    @SuppressWarnings("deprecation")
    static boolean isSocketDrained(Channel channel) {
        Handle lastReads = channel.unsafe().recvBufAllocHandle();
        return lastReads.lastBytesRead() < lastReads.attemptedBytesRead();
    }

    /** Whether the last read found the socket empty and open. */
    @SuppressWarnings("deprecation")
    static boolean hasFoundNothing(Channel channel) {
        return channel.unsafe().recvBufAllocHandle().lastBytesRead() == 0;
    }

    /** Creates a handle of the type that Netty's interface still names, although it is deprecated. */
    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new DelegatingHandle(delegate.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return allocator.ioBuffer(guess());
            }

            @Override
            public int guess() {
                return budget.isScarce() ? Math.min(MemoryBudget.SCARCE_READ_BYTES, delegate().guess())
                        : delegate().guess();
            }
        };
    }
}
