package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;

/**
 * A response that is streamed to its client. On a connection with pipelined requests it waits for the
 * responses before it. Until it starts it is not writable, so no more is read from its backend.
 */
final class ResponseStream implements BackendPool.ResponseSink {

    /** The client connection that the response is written to. */
    interface Owner {
        /** Called when the last byte has been received from the backend. */
        void streamCompleted();

        /** Called when the response failed before any of it was written to the client. */
        void streamFailedBeforeStart();

        /** Called when it failed after its start. The connection must be closed, or the client would wait. */
        void streamFailed();
    }

    private final Channel channel;
    private final HttpVersion version;
    private final long contentLength;
    private final Runnable resumeReading;
    private final Owner owner;
    private final MemoryBudget budget;
    private final BudgetedWriter writer;
    /** Parts received before the start. They are no more than a buffered response and one read. */
    private final ArrayDeque<ByteBuf> pendingParts = new ArrayDeque<>();
    private boolean started;
    /** Whether no more will come from the backend, after success or failure. */
    private boolean ended;
    private boolean failed;
    private boolean released;
    private boolean keepAlive;

    /**
     * Creates a stream that has not started.
     *
     * @param version HTTP version of the client; a client of HTTP/1.0 does not support chunks
     * @param contentLength length of the body in bytes, or -1 if it is not known
     * @param resumeReading resumes reading from the backend after this stream was not writable
     * @param budget counts the bytes that are held until the network has taken them
     */
    ResponseStream(Channel channel, HttpVersion version, long contentLength, Runnable resumeReading,
            Owner owner, MemoryBudget budget) {
        this.channel = channel;
        this.version = version;
        this.contentLength = contentLength;
        this.resumeReading = resumeReading;
        this.owner = owner;
        this.budget = budget;
        this.writer = new BudgetedWriter(channel, budget, this::resumeIfWritable);
    }

    @Override
    public void write(ByteBuf bytes) {
        if (released) {
            bytes.release();
        } else if (started) {
            writer.writeAndFlush(bytes);
        } else {
            budget.hold(bytes.readableBytes());
            pendingParts.add(bytes);
        }
    }

    @Override
    public boolean isWritable() {
        return started && writer.isWritable();
    }

    @Override
    public void end() {
        ended = true;
        owner.streamCompleted();
    }

    /**
     * Fails the response in a way that the client can detect: bytes of the declared length or the last chunk
     * are missing, or, if the body ends with the connection, the connection is reset.
     */
    @Override
    public void fail() {
        failed = true;
        ended = true;
        if (!started) {
            release();
            owner.streamFailedBeforeStart();
            return;
        }
        if (!isFramed()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        owner.streamFailed();
    }

    boolean isStarted() {
        return started;
    }

    /** Whether no more will come from the backend, after success or failure. */
    boolean isEnded() {
        return ended;
    }

    /** Whether all of it has been received and nothing was lost. */
    boolean isComplete() {
        return ended && !failed && !released;
    }

    /** Whether the client connection may carry another response after it; valid once it has started. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    private boolean isFramed() {
        return contentLength >= 0 || isChunked();
    }

    private boolean isChunked() {
        return contentLength < 0 && version.equals(HttpVersion.HTTP_1_1);
    }

    /**
     * Writes the head and the parts received so far, once all earlier responses have been written. Has no
     * effect on a stream that has started.
     */
    void start(boolean mayKeepAlive) {
        if (started) {
            return;
        }
        started = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (contentLength >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        } else if (isChunked()) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        keepAlive = isFramed() && mayKeepAlive;
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(response);
        while (!pendingParts.isEmpty()) {
            ByteBuf part = pendingParts.poll();
            budget.release(part.readableBytes());
            writer.write(part);
        }
        channel.flush();
        resumeIfWritable();
    }

    /** Resumes reading from the backend if the client connection is writable. */
    void resumeIfWritable() {
        if (isWritable() && !ended && !released) {
            resumeReading.run();
        }
    }

    /** Writes the end of the body. */
    ChannelFuture writeLastContent() {
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Releases the parts not written and discards all later ones. */
    void release() {
        released = true;
        for (ByteBuf part : pendingParts) {
            budget.release(part.readableBytes());
            part.release();
        }
        pendingParts.clear();
    }
}
