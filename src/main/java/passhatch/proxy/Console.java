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
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.EventLog.Kind;

/**
 * HTTP server for operators, with one request per connection. Clients that keep connections open without a
 * complete request cannot lock operators out: such a connection times out, and if there are too many
 * connections, one is closed: one that has its response, else the one whose request makes least progress.
 */
final class Console {

    /** Maximum number of open connections; the process reserves that many descriptors for the console. */
    static final int MAX_CONNECTIONS = 24;
    private static final int ACCEPT_BACKLOG = 128;
    private static final int MAX_BODY_BYTES = 1 << 13;
    /** Time within which a request must be complete; later it is answered with status 408. */
    private static final long REQUEST_TIMEOUT_MS = 2_000;
    /** Time between the response and closing the connection, if the client does not close it first. */
    private static final long CLOSE_DELAY_MS = 500;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final ConsoleRoutes routes;
    /** Open connections, oldest first. */
    private final Set<Connection> connections = new LinkedHashSet<>();
    private Channel listener;

    Console(EventLoop loop, Clock clock, EventLog log, ConsoleRoutes routes) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.routes = routes;
    }

    /**
     * Starts to listen and waits until the address is bound.
     *
     * @return the bound address
     * @throws IOException if the address cannot be bound
     */
    InetSocketAddress listen(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(connection.transfers,
                                new HttpServerCodec(SelectedHeaders.forRequests()),
                                new HttpObjectAggregator(MAX_BODY_BYTES), connection);
                    }
                }).bind(address).await();
        if (!bound.isSuccess()) {
            throw new IOException(bound.cause().getMessage());
        }
        listener = bound.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops listening; open connections are not closed. */
    void close() {
        if (listener != null) {
            listener.close();
        }
    }

    private void evictExcessConnections() {
        while (connections.size() > MAX_CONNECTIONS) {
            Connection evicted = findEvictionCandidate();
            connections.remove(evicted);
            evicted.channel.close();
        }
    }

    private Connection findEvictionCandidate() {
        return connections.stream().filter(c -> c.state == State.RESPONDED).findFirst()
                .or(() -> connections.stream().filter(c -> c.state == State.AWAITING_REQUEST)
                        .min(Comparator.comparingLong(c -> c.transfers.lastReceivedUs())))
                .orElseGet(() -> connections.iterator().next());
    }

    /** State of a connection. */
    private enum State { AWAITING_REQUEST, PROCESSING, RESPONDED }

    /** One connection and its request. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private final TransferMonitor transfers = new TransferMonitor(clock, 0, () -> 0);
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
            // If the connection were closed at once, data that the client still sends could cause a reset
            // that arrives before the response.
            channel.writeAndFlush(message).addListener(done -> channel.shutdownOutput());
            loop.schedule(() -> channel.close(), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
        }

        /** Closes the connection if the client shuts down its output before its request is complete. */
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
            log.line(Kind.CONSOLE, "console: connection closed after an error: " + cause);
            if (state == State.PROCESSING) {
                respond(ConsoleRoutes.Response.of(HttpResponseStatus.INTERNAL_SERVER_ERROR));
            } else {
                ctx.close();
            }
        }
    }
}
