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
 * Requests at times that are planned ahead at a fixed rate, whatever becomes of those before: one that is
 * late because others are slow counts its waiting. Like a client of the protocol page it sends one request at
 * a time on a connection, keeps its connections, and opens another when all are busy.
 */
final class OpenLoopLoad implements Closeable {

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("load", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final InetSocketAddress target;
    private final int maxConnections;
    private final SplittableRandom random;
    // Touched by the event loop alone.
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<PlannedRequest> queuedRequests = new ArrayDeque<>();
    private int connectionCount;

    /** One request of a load. */
    private record PlannedRequest(LoadRun run, long plannedNs) { }

    /** One load. */
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
     * A load on one address.
     *
     * @param maxConnections beyond these, requests wait here for one to be free
     * @param seed of the requests' ids, which no other load may share
     */
    OpenLoopLoad(InetSocketAddress target, int maxConnections, long seed) {
        this.target = target;
        this.maxConnections = maxConnections;
        this.random = new SplittableRandom(seed);
    }

    /** Sends at a rate for a time, then waits so long at most for what is out. */
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
            // What is still out then is neither served nor ended, and the result shows it.
        } catch (ExecutionException unexpected) {
            throw new IllegalStateException(unexpected);
        }
        // Its last steps are over once the loop gets to this one.
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

    /** A connection, and the request that is out on it. */
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
