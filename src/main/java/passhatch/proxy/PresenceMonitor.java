package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.function.LongSupplier;

/** Reports to the presence of a client what the event loop reads from its connection. */
final class PresenceMonitor extends ChannelDuplexHandler {

    private final ClientPresence presence;
    private final LongSupplier maxDelayUs;

    /**
     * Creates a monitor of a connection of which nothing has been read.
     *
     * @param maxDelayUs how long input that is read now may have waited at most, provided that the event loop
     *     was watching for it, in microseconds
     */
    PresenceMonitor(ClientPresence presence, LongSupplier maxDelayUs) {
        this.presence = presence;
        this.maxDelayUs = maxDelayUs;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        presence.received(((ByteBuf) message).readableBytes(), maxDelayUs.getAsLong());
        ctx.fireChannelRead(message);
    }

    /** Reports the end of the read last, so that a pause that it leads to is known. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        presence.readEnded(BudgetedReceiveAllocator.hasFoundNothing(ctx.channel()));
    }

    /** Called when the event loop begins to watch the socket for input. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        presence.watchStarted();
        ctx.read();
    }
}
