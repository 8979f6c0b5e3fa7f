package passhatch.proxy;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Tells when bytes of a connection were last received, and for how long its peer has accepted none of those
 * that wait to be sent. Times are in microseconds of the proxy's clock.
 */
final class TransferMonitor extends ChannelDuplexHandler {

    private final Clock clock;
    private long lastReceivedUs;
    /** Number of writes that the network has not taken completely. */
    private int pendingWrites;
    /** When the network last completed a write, or when the first pending one was started if later. */
    private long lastWriteProgressUs;

    TransferMonitor(Clock clock) {
        this.clock = clock;
        this.lastReceivedUs = clock.nowUs();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastReceivedUs = clock.nowUs();
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (pendingWrites == 0) {
            lastWriteProgressUs = clock.nowUs();
        }
        pendingWrites++;
        ctx.write(message, promise.unvoid().addListener(completed -> {
            pendingWrites--;
            lastWriteProgressUs = clock.nowUs();
        }));
    }

    /** When bytes were last received, or when the connection was accepted if none were. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** Whether bytes have been waiting for the given time without the network completing a write. */
    boolean isWriteStalled(long nowUs, long limitUs) {
        return pendingWrites > 0 && nowUs - lastWriteProgressUs >= limitUs;
    }
}
