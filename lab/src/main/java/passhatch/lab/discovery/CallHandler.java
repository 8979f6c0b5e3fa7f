package passhatch.lab.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Handles one connection of a caller: calls for the full list, one after another, until one of them opens a
 * watch. Runs in the event loop of the server.
 */
final class CallHandler extends SimpleChannelInboundHandler<HttpObject> {

    private static final String ENDPOINTS_PATH = "/v1/endpoints";

    private final DiscoveryServer server;
    private ChannelHandlerContext ctx;
    /** Whether the caller keeps the connection open after the response to its latest call. */
    private boolean keepAlive = true;
    /** Whether the connection is an open watch. */
    private boolean watching;
    /** Whether a fault keeps the watch from sending anything. */
    private boolean silenced;

    CallHandler(DiscoveryServer server) {
        this.server = server;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (!(message instanceof HttpRequest request)) {
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        server.listener().callReceived(server.queue().length());
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        if (server.mode() == DiscoveryServer.Mode.SILENT) {
            return;
        }
        if (server.mode() == DiscoveryServer.Mode.FAILING) {
            reject();
        } else if (!query.path().equals(ENDPOINTS_PATH) || !request.method().equals(HttpMethod.GET)) {
            respond(HttpResponseStatus.NOT_FOUND, Unpooled.EMPTY_BUFFER);
        } else if (query.parameters().containsKey("watch")) {
            server.queue().add(new QueuedCall(true, requestedVersion(query)));
        } else {
            server.queue().add(new QueuedCall(false, null));
        }
    }

    /**
     * Returns the version that a watch starts from, or null for the full list if it is missing or no number.
     */
    private static Long requestedVersion(QueryStringDecoder query) {
        try {
            return Long.valueOf(query.parameters().get("from").get(0));
        } catch (NullPointerException | NumberFormatException invalid) {
            return null;
        }
    }

    /** One call of this connection in the queue. */
    private final class QueuedCall implements DiscoveryCallQueue.Call {
        private final boolean opensWatch;
        private final Long fromVersion;

        QueuedCall(boolean opensWatch, Long fromVersion) {
            this.opensWatch = opensWatch;
            this.fromVersion = fromVersion;
        }

        @Override
        public int responseLines() {
            return server.updateSince(fromVersion).lines();
        }

        @Override
        public boolean isDisconnected() {
            return !ctx.channel().isActive();
        }

        @Override
        public void serve(long waitedNs) {
            server.listener().callServed(waitedNs);
            ByteBuf body = Unpooled.wrappedBuffer(server.updateSince(fromVersion).bytes());
            if (opensWatch) {
                watching = true;
                HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                        .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                ctx.write(head);
                ctx.writeAndFlush(new DefaultHttpContent(body));
            } else {
                respond(HttpResponseStatus.OK, body);
            }
        }

        @Override
        public void reject() {
            CallHandler.this.reject();
        }
    }

    private void reject() {
        server.listener().callRejected();
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
    }

    private void respond(HttpResponseStatus status, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = ctx.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && receivesChanges()) {
            ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[] {'\n'})));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The caller reset the connection or did not send valid HTTP. Both can happen and the caller notices
        // the close.
        ctx.close();
    }

    /** Whether the connection is an open watch, silenced or not. */
    boolean isWatch() {
        return watching;
    }

    /** Whether the connection is an open watch that still receives changes. */
    boolean receivesChanges() {
        return watching && !silenced;
    }

    /** Sends a change if the connection is an open watch and not silenced. */
    void sendChange(DiscoveryServer.EncodedUpdate change) {
        if (receivesChanges()) {
            ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(change.bytes())));
        }
    }

    /** Keeps the watch open without sending anything from now on. */
    void silence() {
        silenced = true;
    }

    /** Ends an open watch with a complete response and closes the connection. */
    void endWatch() {
        if (watching) {
            watching = false;
            ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Closes the connection with a TCP reset. */
    void reset() {
        watching = false;
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
    }
}
