package passhatch.lab.latency;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

/**
 * An open-loop load: requests are planned at a fixed rate, independently of the responses to earlier ones.
 * The latency of a request that is sent late because others are slow includes that delay. Like a client in
 * the protocol page, the load sends one request at a time on a connection, keeps connections open, and opens
 * another one when all are busy.
 */
final class OpenLoopLoad implements Closeable {

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("load", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InetSocketAddress target;
    private final int maxConnections;
    private final SplittableRandom random;
    // The following fields are used only in the event loop.
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<PlannedRequest> queuedRequests = new ArrayDeque<>();
    private int connectionCount;

    /** A request and the time at which it is to be sent. */
    private record PlannedRequest(LoadRun run, long plannedNs) { }

    /** One run of the load; it is complete when all planned requests have ended. */
    private static final class LoadRun {
        final LoadResult result;
        final CompletableFuture<Void> completion = new CompletableFuture<>();

        LoadRun(int planned) {
            this.result = new LoadResult(planned);
        }

        void completeIfAllEnded() {
            if (result.ended() == result.planned()) {
                completion.complete(null);
            }
        }
    }

    /**
     * Creates a load on one address.
     *
     * @param maxConnections limit of connections; when all are busy, requests are queued in the load
     * @param seed random seed of the request ids; loads that run at the same time need different ones
     */
    OpenLoopLoad(InetSocketAddress target, int maxConnections, long seed) {
        this.target = target;
        this.maxConnections = maxConnections;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Sends requests at a rate for a duration, then waits for the responses.
     *
     * @param grace longest wait for responses after the last request was planned
     */
    LoadResult run(double perSecond, Duration duration, Duration grace) throws InterruptedException {
        int planned = (int) Math.round(perSecond * duration.toNanos() / 1e9);
        double intervalNs = TimeUnit.SECONDS.toNanos(1) / perSecond;
        LoadRun run = new LoadRun(planned);
        long startNs = System.nanoTime();
        for (int i = 0; i < planned; i++) {
            PlannedRequest request = new PlannedRequest(run, startNs + (long) (i * intervalNs));
            for (long nowNs = System.nanoTime(); nowNs < request.plannedNs; nowNs = System.nanoTime()) {
                LockSupport.parkNanos(request.plannedNs - nowNs);
                if (Thread.interrupted()) {
                    throw new InterruptedException();
                }
            }
            loop.execute(() -> send(request));
        }
        try {
            run.completion.get(grace.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException graceExpired) {
            // Requests still in flight count neither as served nor as ended in the result.
        } catch (ExecutionException unexpected) {
            throw new IllegalStateException(unexpected);
        }
        // Waits until the event loop has run all tasks that were submitted before, so that the result is
        // final.
        loop.submit(() -> { }).syncUninterruptibly();
        return run.result;
    }

    private void send(PlannedRequest request) {
        Connection connection = idleConnections.pollLast();
        if (connection != null) {
            connection.send(request);
        } else if (connectionCount < maxConnections) {
            connectionCount++;
            new Connection().open(request);
        } else {
            queuedRequests.add(request);
        }
    }

    private void recordFailure(PlannedRequest request) {
        request.run.result.notServed();
        request.run.completeIfAllEnded();
    }

    /** A connection and the request in flight on it. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        private PlannedRequest inFlight;
        private boolean isStatusOk;

        void open(PlannedRequest first) {
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel newChannel) {
                            newChannel.pipeline().addLast(new HttpClientCodec(), Connection.this);
                        }
                    })
                    .connect(target).addListener((ChannelFuture connected) -> {
                        if (connected.isSuccess()) {
                            channel = connected.channel();
                            channel.closeFuture().addListener(closed -> handleClose());
                            send(first);
                        } else {
                            connectionCount--;
                            recordFailure(first);
                        }
                    });
        }

        void send(PlannedRequest request) {
            if (!channel.isActive()) {
                OpenLoopLoad.this.send(request);
                return;
            }
            inFlight = request;
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    ProxyProcess.PATH);
            get.headers().set(HttpHeaderNames.HOST, "load")
                    .set("X-Request-Id", HexFormat.of().toHexDigits(random.nextLong()))
                    .set("X-Deadline", ProxyProcess.DEADLINE_MS + "m");
            request.run.result.sent(System.nanoTime() - request.plannedNs);
            channel.writeAndFlush(get);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                isStatusOk = response.status().equals(HttpResponseStatus.OK);
            }
            if (message instanceof LastHttpContent && inFlight != null) {
                PlannedRequest completed = inFlight;
                inFlight = null;
                if (isStatusOk) {
                    completed.run.result.served(System.nanoTime() - completed.plannedNs);
                    completed.run.completeIfAllEnded();
                } else {
                    recordFailure(completed);
                }
                PlannedRequest next = queuedRequests.poll();
                if (next == null) {
                    idleConnections.add(this);
                } else {
                    send(next);
                }
            }
        }

        private void handleClose() {
            connectionCount--;
            idleConnections.remove(this);
            if (inFlight != null) {
                recordFailure(inFlight);
                inFlight = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
