package passhatch.lab.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Reports the bytes read from and written to a connection; the first handler of its pipeline. */
final class ByteCounter extends ChannelDuplexHandler {

    private final DiscoveryListener listener;

    /** Creates a counter that reports to the listener. */
    ByteCounter(DiscoveryListener listener) {
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            listener.bytesReceived(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            listener.bytesSent(bytes.readableBytes());
        }
        ctx.write(message, promise);
    }
}
