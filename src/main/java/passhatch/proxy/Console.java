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
    static final int MOST_OPEN = 24;
    private static final int BACKLOG = 128;
    private static final int MOST_BODY = 1 << 13;
    /** A call is whole within this time. */
    private static final long MOST_STALL_MS = 2_000;
    /** What was answered is closed after this, if the caller does not do it first. */
    private static final long LINGER_MS = 500;

    private final EventLoop loop;
    private final EventLog log;
    private final ConsoleRoutes routes;
    /** In the order of connecting. */
    private final Set<Caller> callers = new LinkedHashSet<>();
    private Channel listener;

    Console(EventLoop loop, EventLog log, ConsoleRoutes routes) {
        this.loop = loop;
        this.log = log;
        this.routes = routes;
    }

    /** Starts to listen and waits until it does. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                                new Caller(channel));
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

    private void makeRoom() {
        while (callers.size() > MOST_OPEN) {
            Caller spared = callers.stream().filter(c -> c.state != State.CALLED).findFirst()
                    .orElseGet(() -> callers.iterator().next());
            callers.remove(spared);
            spared.channel.close();
        }
    }

    private enum State { CONNECTED, CALLED, ANSWERED }

    /** One connection. */
    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private State state = State.CONNECTED;

        Caller(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            callers.add(this);
            makeRoom();
            loop.schedule(() -> {
                if (state == State.CONNECTED) {
                    reply(ConsoleRoutes.Reply.of(HttpResponseStatus.REQUEST_TIMEOUT));
                }
            }, MOST_STALL_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (state != State.CONNECTED) {
                return;
            }
            state = State.CALLED;
            if (call.decoderResult().isFailure() || call.protocolVersion().majorVersion() != 1) {
                reply(ConsoleRoutes.Reply.of(HttpResponseStatus.BAD_REQUEST));
                return;
            }
            routes.call(call.method(), call.uri(), this::reply);
        }

        private void reply(ConsoleRoutes.Reply reply) {
            if (state == State.ANSWERED) {
                return;
            }
            state = State.ANSWERED;
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    reply.status(), Unpooled.copiedBuffer(reply.text(), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (reply.allowed() != null) {
                response.headers().set(HttpHeaderNames.ALLOW, reply.allowed().name());
            }
            // Closed at once, what the caller still sends could make a reset overtake the answer.
            channel.writeAndFlush(response).addListener(done -> channel.shutdownOutput());
            loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        /** A caller that ends its sending before its call is whole has nothing more to say. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent
                    && state != State.CALLED) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            callers.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line(Kind.CONSOLE, "console: " + cause);
            ctx.close();
        }
    }
}
