package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;

/**
 * An answer that is passed on to its client as it comes. On a connection with several requests it waits for
 * the answers before it; until its turn comes it is not writable, so its backend is not read on.
 */
final class ResponseStream implements BackendPool.AnswerSink {

    /** The connection's side. */
    interface Owner {
        /** Its last byte is in. */
        void streamCompleted();

        /** It will not come to its end, and nothing of it has been written. */
        void streamFailedBeforeStart();

        /** It will not come to its end: the connection has to end as well, or the client would wait. */
        void streamFailed();
    }

    private final Channel channel;
    private final HttpVersion version;
    private final long contentLength;
    private final Runnable resumeReading;
    private final Owner owner;
    /** What has come before its turn has: no more than one read brings. */
    private final ArrayDeque<ByteBuf> pendingParts = new ArrayDeque<>();
    private boolean started;
    private boolean ended;
    private boolean failed;
    private boolean released;
    private boolean keepAlive;

    /**
     * A stream whose turn has not come.
     *
     * @param version of the client: one of 1.0 knows no chunks
     * @param contentLength of the answer, or -1
     * @param resumeReading has the backend read on after this was not writable
     */
    ResponseStream(Channel channel, HttpVersion version, long contentLength, Runnable resumeReading,
            Owner owner) {
        this.channel = channel;
        this.version = version;
        this.contentLength = contentLength;
        this.resumeReading = resumeReading;
        this.owner = owner;
    }

    @Override
    public void part(ByteBuf bytes) {
        if (released) {
            bytes.release();
        } else if (started) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        } else {
            pendingParts.add(bytes);
        }
    }

    @Override
    public boolean isWritable() {
        return started && channel.isWritable();
    }

    @Override
    public void end() {
        ended = true;
        owner.streamCompleted();
    }

    /** The client can tell: the length, or the last chunk, is missing, or the connection is reset. */
    @Override
    public void broken() {
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

    boolean isEnded() {
        return ended;
    }

    /** Whether all of it is in, with nothing lost. */
    boolean isComplete() {
        return ended && !failed && !released;
    }

    /** Whether its connection may carry another answer. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    private boolean isFramed() {
        return contentLength >= 0 || isChunked();
    }

    private boolean isChunked() {
        return contentLength < 0 && version.equals(HttpVersion.HTTP_1_1);
    }

    /** Its turn has come; once it has, nothing more happens. */
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
            channel.write(new DefaultHttpContent(pendingParts.poll()));
        }
        channel.flush();
        resumeIfWritable();
    }

    /** The connection may be able to take more. */
    void resumeIfWritable() {
        if (isWritable() && !ended) {
            resumeReading.run();
        }
    }

    /** Writes its end. */
    ChannelFuture writeLastContent() {
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    void release() {
        released = true;
        pendingParts.forEach(ByteBuf::release);
        pendingParts.clear();
    }
}
