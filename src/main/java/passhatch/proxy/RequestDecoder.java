package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Netty's HTTP request decoder, extended to tell whether it holds part of a request, and to pause: one read
 * may bring hundreds of requests, which take far more memory and time decoded than as bytes.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Maximum size of a piece of a body that is passed on. */
    private static final int MAX_CHUNK_BYTES = 1 << 15;

    /** Number of request heads whose first line has been decoded. */
    private long startedHeads;
    /** Number of request heads that the next handler has received. */
    private long deliveredHeads;
    /** The latest head whose first line has been decoded; null before the first one. */
    private HttpMessage startedHead;
    private boolean paused;
    private boolean discarding;
    private ChannelHandlerContext context;
    private final Runnable onUndecoded;

    /**
     * Creates a decoder that passes bodies on in pieces as large as they are read, up to its maximum.
     *
     * @param onUndecoded called when bytes were received that are not decoded, as it is paused
     */
    RequestDecoder(Runnable onUndecoded) {
        super(SelectedHeaders.forRequests("X-Request-Id", "X-Tenant", "X-Deadline", "X-Retry",
                "X-Cost-Hint", "Idempotency-Key").setMaxChunkSize(MAX_CHUNK_BYTES));
        this.onUndecoded = onUndecoded;
    }

    /**
     * Counts a request whose first line has been decoded: from now on Netty keeps the head outside the
     * decoder's buffer, so the number of buffered bytes no longer shows it.
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        startedHeads++;
        startedHead = super.createMessage(initialLine);
        return startedHead;
    }

    /** Tells the decoder that the next handler has received a request head. */
    void headDelivered() {
        deliveredHeads++;
    }

    /** Approximate memory held for input that the next handler has not received, in bytes. */
    int heldBytes() {
        boolean hasHead = startedHeads > deliveredHeads && startedHead instanceof HttpRequest;
        int headBytes = hasHead ? ReadAheadBuffer.estimatedHeadBytes((HttpRequest) startedHead) : 0;
        return actualReadableBytes() + headBytes;
    }

    /** Number of bytes that have not been decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Whether the decoder holds bytes of a request whose head the next handler has not received yet. */
    boolean hasUndeliveredBytes() {
        return actualReadableBytes() > 0 || startedHeads > deliveredHeads;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        context = ctx;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (discarding) {
            in.skipBytes(in.readableBytes());
        } else if (!paused) {
            super.decode(ctx, in, out);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        super.channelRead(ctx, message);
        if (paused) {
            onUndecoded.run();
        }
    }

    /** Drops all that is received from now on, instead of decoding it. */
    void discardAll() {
        discarding = true;
    }

    /** Decodes nothing more until {@link #resume}; the caller limits what is read meanwhile. */
    void pause() {
        paused = true;
    }

    boolean isPaused() {
        return paused;
    }

    /** Decodes what has been received, until it is paused again. */
    void resume() throws Exception {
        if (paused) {
            paused = false;
            // An empty read has the decoder look at the bytes that it holds.
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }
}
