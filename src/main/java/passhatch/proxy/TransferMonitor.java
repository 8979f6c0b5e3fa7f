package passhatch.proxy;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.function.LongSupplier;

/**
 * Tells when bytes of a connection were last received, and for how long its peer has accepted none of those
 * that wait to be sent. Times are in microseconds of the proxy's clock.
 */
final class TransferMonitor extends ChannelDuplexHandler {

    private final Clock clock;
    private final LongSupplier readDelayUs;
    private long lastReceivedUs;
    /** How long the first input may have waited for the connection to be accepted. */
    private long queueTimeUs;
    /** When the first input was read since all of it had been read; meaningful if {@link #hasUnread}. */
    private long unreadSinceUs;
    private boolean hasUnread;
    /** Number of writes that the network has not taken completely. */
    private int pendingWrites;
    /** When the network last completed a write, or when the first pending one was started if later. */
    private long lastWriteProgressUs;

    /**
     * Creates a monitor of a connection that is accepted now.
     *
     * @param queueTimeUs how long its first input may have waited for that, in microseconds
     * @param readDelayUs how long input that is read now may have waited for the event loop, in microseconds
     */
    TransferMonitor(Clock clock, long queueTimeUs, LongSupplier readDelayUs) {
        this.clock = clock;
        this.queueTimeUs = queueTimeUs;
        this.readDelayUs = readDelayUs;
        this.lastReceivedUs = clock.nowUs();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastReceivedUs = clock.nowUs();
        if (!hasUnread) {
            hasUnread = true;
            unreadSinceUs = lastReceivedUs - Math.max(queueTimeUs, readDelayUs.getAsLong());
            queueTimeUs = 0;
        }
        ctx.fireChannelRead(message);
    }

    /** Notes that reading is paused, so that there may be unread input from now on. */
    void readingPaused() {
        if (!hasUnread) {
            hasUnread = true;
            unreadSinceUs = clock.nowUs();
        }
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

    /** Notes that all input that was there has been read. */
    void allRead() {
        hasUnread = false;
    }

    /** Whether there may be input that has not been read. */
    boolean hasUnread() {
        return hasUnread;
    }

    /**
     * Since when there has been unread input without a break, or when the latest such time began: no input
     * that is read now can have arrived earlier.
     */
    long unreadSinceUs() {
        return unreadSinceUs;
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
