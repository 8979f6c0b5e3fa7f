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
final class AnswerStream implements BackendPool.AnswerSink {

    /** The connection's side. */
    interface Owner {
        /** Its last byte is in. */
        void ended();

        /** It will not come to its end, and nothing of it has been written. */
        void brokenBeforeItsTurn();

        /** It will not come to its end: the connection has to end as well, or the client would wait. */
        void broken();
    }

    private final Channel channel;
    private final HttpVersion version;
    private final long length;
    private final Runnable readOn;
    private final Owner owner;
    /** What has come before its turn has: no more than one read brings. */
    private final ArrayDeque<ByteBuf> early = new ArrayDeque<>();
    private boolean begun;
    private boolean ended;
    private boolean broken;
    private boolean released;
    private boolean keepsAlive;

    /**
     * A stream whose turn has not come.
     *
     * @param version of the client: one of 1.0 knows no chunks
     * @param length of the answer, or -1
     * @param readOn has the backend read on after this was not writable
     */
    AnswerStream(Channel channel, HttpVersion version, long length, Runnable readOn, Owner owner) {
        this.channel = channel;
        this.version = version;
        this.length = length;
        this.readOn = readOn;
        this.owner = owner;
    }

    @Override
    public void part(ByteBuf bytes) {
        if (released) {
            bytes.release();
        } else if (begun) {
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        } else {
            early.add(bytes);
        }
    }

    @Override
    public boolean isWritable() {
        return begun && channel.isWritable();
    }

    @Override
    public void end() {
        ended = true;
        owner.ended();
    }

    /** The client can tell: the length, or the last chunk, is missing, or the connection is reset. */
    @Override
    public void broken() {
        broken = true;
        ended = true;
        if (!begun) {
            release();
            owner.brokenBeforeItsTurn();
            return;
        }
        if (!isFramed()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        owner.broken();
    }

    boolean isBegun() {
        return begun;
    }

    boolean isEnded() {
        return ended;
    }

    /** Whether all of it is in, with nothing lost. */
    boolean isWhole() {
        return ended && !broken && !released;
    }

    /** Whether its connection may carry another answer. */
    boolean keepsAlive() {
        return keepsAlive;
    }

    private boolean isFramed() {
        return length >= 0 || isChunked();
    }

    private boolean isChunked() {
        return length < 0 && version.equals(HttpVersion.HTTP_1_1);
    }

    /** Its turn has come; once it has, nothing more happens. */
    void begin(boolean mayKeepAlive) {
        if (begun) {
            return;
        }
        begun = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (isChunked()) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        keepsAlive = isFramed() && mayKeepAlive;
        if (!keepsAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(response);
        while (!early.isEmpty()) {
            channel.write(new DefaultHttpContent(early.poll()));
        }
        channel.flush();
        writable();
    }

    /** The connection may be able to take more. */
    void writable() {
        if (isWritable() && !ended) {
            readOn.run();
        }
    }

    /** Writes its end. */
    ChannelFuture finish() {
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    void release() {
        released = true;
        early.forEach(ByteBuf::release);
        early.clear();
    }
}
