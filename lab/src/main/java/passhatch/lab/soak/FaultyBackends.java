package passhatch.lab.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import passhatch.lab.soak.RunObservations.Arrival;

/**
 * Backends on loopback that can be made to fail, all in one event loop. Every request that arrives is
 * recorded.
 */
final class FaultyBackends implements Closeable {

    /** How a backend handles requests. */
    enum Mode {
        /** It answers all requests 200. */
        SERVING,
        /** It receives requests and does not respond. */
        HANGING,
        /** It answers most requests 500. */
        ERRING,
        /** It resets the connections of most requests instead of responding. */
        RESETTING,
        /**
         * Its queue is full: it answers most requests 503 with the header that says that they did not run.
         */
        FULL
    }

    /** Not 127.0.0.1, where an outgoing connection could take the port of a backend that is down. */
    static final String HOST = "127.2.0.1";
    private static final int MEAN_SERVICE_US = 15_000;
    private static final int MAX_BODY_BYTES = 1 << 16;
    /** Part of the requests that a fault affects, except for HANGING, which affects all. */
    private static final double FAULT_RATIO = 0.6;
    private static final long NANOS_PER_MICRO = 1_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("faulty-backends", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final RunObservations observations;
    private final SplittableRandom random;
    private final List<Backend> backends = new ArrayList<>();

    /** Starts {@code count} backends on free ports; the seed decides service times and affected requests. */
    FaultyBackends(int count, long seed, RunObservations observations) {
        this.observations = observations;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            Backend backend = new Backend("s-" + i);
            backend.listen(new InetSocketAddress(HOST, 0));
            backends.add(backend);
        }
    }

    /** The name of a backend in discovery's list. */
    String name(int backend) {
        return backends.get(backend).name;
    }

    InetSocketAddress address(int backend) {
        return backends.get(backend).address;
    }

    int count() {
        return backends.size();
    }

    /** Sets how a backend handles requests from now on. */
    void mode(int backend, Mode mode) {
        runInLoop(() -> backends.get(backend).mode = mode);
    }

    /** Simulates a crash: connections are reset and new ones refused until {@link #restart}. */
    void crash(int backend) {
        Backend target = backends.get(backend);
        Channel listener = target.listener;
        listener.close().syncUninterruptibly();
        runInLoop(() -> Set.copyOf(target.openChannels).forEach(Backend::reset));
    }

    /** Lets a crashed backend listen at the same address and serve again. */
    void restart(int backend) {
        Backend target = backends.get(backend);
        runInLoop(() -> target.mode = Mode.SERVING);
        target.listen(target.address);
    }

    private void runInLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** One backend and its open connections, which are used only in the event loop. */
    private final class Backend {
        private final String name;
        private final Set<Channel> openChannels = new HashSet<>();
        private Mode mode = Mode.SERVING;
        private InetSocketAddress address;
        private Channel listener;

        Backend(String name) {
            this.name = name;
        }

        void listen(InetSocketAddress bindAddress) {
            listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            openChannels.add(channel);
                            channel.closeFuture().addListener(closed -> openChannels.remove(channel));
                            channel.pipeline().addLast(new HttpServerCodec(),
                                    new HttpObjectAggregator(MAX_BODY_BYTES),
                                    new RequestHandler(Backend.this));
                        }
                    })
                    .bind(bindAddress).syncUninterruptibly().channel();
            address = (InetSocketAddress) listener.localAddress();
        }

        static void reset(Channel channel) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }
    }

    /** Records each request and handles it by the mode of its backend. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Backend backend;

        RequestHandler(Backend backend) {
            this.backend = backend;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean isAffected = random.nextDouble() < FAULT_RATIO;
            Mode mode = isAffected || backend.mode == Mode.HANGING ? backend.mode : Mode.SERVING;
            String id = request.headers().get("X-Request-Id", "");
            observations.add(new Arrival(id, backend.name, System.nanoTime(), timeLeftNs(request),
                    mode != Mode.FULL));
            long serviceUs = (long) (-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_US);
            switch (mode) {
                case HANGING -> { }
                case FULL -> respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
                case ERRING -> schedule(serviceUs,
                        () -> respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR,
                        "", false));
                case RESETTING -> schedule(serviceUs, () -> Backend.reset(ctx.channel()));
                case SERVING -> schedule(serviceUs, () -> respond(ctx, HttpResponseStatus.OK,
                        LoadClient.responseBody(id), false));
                default -> throw new IllegalStateException(mode.name());
            }
        }

        private void schedule(long delayUs, Runnable action) {
            loop.schedule(action, delayUs, TimeUnit.MICROSECONDS);
        }

        private long timeLeftNs(FullHttpRequest request) {
            String deadline = request.headers().get("X-Deadline", "0u");
            return Long.parseLong(deadline.substring(0, deadline.length() - 1)) * NANOS_PER_MICRO;
        }

        private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body,
                boolean notRun) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
            if (notRun) {
                response.headers().set("X-Not-Run", "1");
            }
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
