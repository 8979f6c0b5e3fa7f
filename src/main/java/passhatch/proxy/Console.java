package passhatch.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.EventLog.Kind;

/**
 * The operators' address: one call to a connection. Guards against callers that hold connections without a
 * whole call: each has its time, and where there are too many the oldest of them goes, so that none of them
 * keeps a real call out.
 */
final class Console {

    /** Connections at a time: this part of the process's descriptors is the console's. */
    static final int MAX_CONNECTIONS = 24;
    private static final int ACCEPT_BACKLOG = 128;
    private static final int MAX_BODY_BYTES = 1 << 13;
    /** A call is whole within this time. */
    private static final long REQUEST_TIMEOUT_MS = 2_000;
    /** What was answered is closed after this, if the caller does not do it first. */
    private static final long CLOSE_DELAY_MS = 500;

    private final EventLoop loop;
    private final EventLog log;
    private final ConsoleRoutes routes;
    /** In the order of connecting. */
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;

    Console(EventLoop loop, EventLog log, ConsoleRoutes routes) {
        this.loop = loop;
        this.log = log;
        this.routes = routes;
    }

    /** Starts to listen and waits until it does. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(MAX_BODY_BYTES), new Connection(channel));
                    }
                }).bind(address).await();
        if (!bound.isSuccess()) {
            throw new IOException(bound.cause().getMessage());
        }
        listener = bound.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private void evictExcessConnections() {
        while (connections.size() > MAX_CONNECTIONS) {
            Connection evicted = connections.stream().filter(c -> c.state != State.PROCESSING).findFirst()
                    .orElseGet(() -> connections.iterator().next());
            connections.remove(evicted);
            evicted.channel.close();
        }
    }

    private enum State { AWAITING_REQUEST, PROCESSING, RESPONDED }

    /** One connection. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private State state = State.AWAITING_REQUEST;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            evictExcessConnections();
            loop.schedule(() -> {
                if (state == State.AWAITING_REQUEST) {
                    respond(ConsoleRoutes.Response.of(HttpResponseStatus.REQUEST_TIMEOUT));
                }
            }, REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (state != State.AWAITING_REQUEST) {
                return;
            }
            state = State.PROCESSING;
            if (request.decoderResult().isFailure() || request.protocolVersion().majorVersion() != 1) {
                respond(ConsoleRoutes.Response.of(HttpResponseStatus.BAD_REQUEST));
                return;
            }
            routes.handle(request.method(), request.uri(), this::respond);
        }

        private void respond(ConsoleRoutes.Response response) {
            if (state == State.RESPONDED) {
                return;
            }
            state = State.RESPONDED;
            DefaultFullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    response.status(), Unpooled.copiedBuffer(response.text(), StandardCharsets.UTF_8));
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (response.allowedMethod() != null) {
                message.headers().set(HttpHeaderNames.ALLOW, response.allowedMethod().name());
            }
            // Closed at once, what the caller still sends could make a reset overtake the answer.
            channel.writeAndFlush(message).addListener(done -> channel.shutdownOutput());
            loop.schedule(() -> channel.close(), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
        }

        /** A caller that ends its sending before its call is whole has nothing more to say. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent
                    && state != State.PROCESSING) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line(Kind.CONSOLE, "console: " + cause);
            ctx.close();
        }
    }
}
