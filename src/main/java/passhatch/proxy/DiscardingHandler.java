package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Discards what is received, and reports when that is more than a limit. */
final class DiscardingHandler extends ChannelInboundHandlerAdapter {

    private final int maxBytes;
    private final Runnable onLimit;
    private int discardedBytes;

    /**
     * Creates a handler that has discarded nothing.
     *
     * @param onLimit called with each read once more than {@code maxBytes} have been discarded
     */
    DiscardingHandler(int maxBytes, Runnable onLimit) {
        this.maxBytes = maxBytes;
        this.onLimit = onLimit;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        discardedBytes += ((ByteBuf) message).readableBytes();
        ReferenceCountUtil.release(message);
        if (discardedBytes > maxBytes) {
            onLimit.run();
        }
    }
}
