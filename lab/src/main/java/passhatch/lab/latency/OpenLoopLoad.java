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
    private final int mostConnections;
    private final SplittableRandom random;
    // Touched by the event loop alone.
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final ArrayDeque<Planned> waiting = new ArrayDeque<>();
    private int connections;

    /** One request of a load. */
    private record Planned(Run run, long atNs) { }

    /** One load. */
    private static final class Run {
        final LoadResult result;
        final CompletableFuture<Void> over = new CompletableFuture<>();

        Run(int planned) {
            this.result = new LoadResult(planned);
        }

        void ended() {
            if (result.ended() == result.planned()) {
                over.complete(null);
            }
        }
    }

    /**
     * A load on one address.
     *
     * @param mostConnections beyond these, requests wait here for one to be free
     * @param seed of the requests' ids, which no other load may share
     */
    OpenLoopLoad(InetSocketAddress target, int mostConnections, long seed) {
        this.target = target;
        this.mostConnections = mostConnections;
        this.random = new SplittableRandom(seed);
    }

    /** Sends at a rate for a time, then waits so long at most for what is out. */
    LoadResult run(double perSecond, Duration time, Duration grace) throws InterruptedException {
        int planned = (int) Math.round(perSecond * time.toNanos() / 1e9);
        double everyNs = TimeUnit.SECONDS.toNanos(1) / perSecond;
        Run run = new Run(planned);
        long startNs = System.nanoTime();
        for (int i = 0; i < planned; i++) {
            Planned next = new Planned(run, startNs + (long) (i * everyNs));
            for (long now = System.nanoTime(); now < next.atNs; now = System.nanoTime()) {
                LockSupport.parkNanos(next.atNs - now);
                if (Thread.interrupted()) {
                    throw new InterruptedException();
                }
            }
            loop.execute(() -> send(next));
        }
        try {
            run.over.get(grace.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException late) {
            // What is still out then is neither served nor ended, and the result shows it.
        } catch (ExecutionException never) {
            throw new IllegalStateException(never);
        }
        // Its last steps are over once the loop gets to this one.
        loop.submit(() -> { }).syncUninterruptibly();
        return run.result;
    }

    private void send(Planned request) {
        Connection connection = idle.pollLast();
        if (connection != null) {
            connection.send(request);
        } else if (connections < mostConnections) {
            connections++;
            new Connection().open(request);
        } else {
            waiting.add(request);
        }
    }

    private void fail(Planned request) {
        request.run.result.notServed();
        request.run.ended();
    }

    /** A connection, and the request that is out on it. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        private Planned out;
        private boolean ok;

        void open(Planned first) {
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            ch.pipeline().addLast(new HttpClientCodec(), Connection.this);
                        }
                    })
                    .connect(target).addListener((ChannelFuture done) -> {
                        if (done.isSuccess()) {
                            channel = done.channel();
                            channel.closeFuture().addListener(closed -> ended());
                            send(first);
                        } else {
                            connections--;
                            fail(first);
                        }
                    });
        }

        void send(Planned request) {
            if (!channel.isActive()) {
                OpenLoopLoad.this.send(request);
                return;
            }
            out = request;
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    ServedProxy.PATH);
            get.headers().set(HttpHeaderNames.HOST, "load")
                    .set("X-Request-Id", HexFormat.of().toHexDigits(random.nextLong()))
                    .set("X-Deadline", ServedProxy.DEADLINE_MS + "m");
            request.run.result.sent(System.nanoTime() - request.atNs);
            channel.writeAndFlush(get);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response) {
                ok = response.status().equals(HttpResponseStatus.OK);
            }
            if (message instanceof LastHttpContent && out != null) {
                Planned answered = out;
                out = null;
                if (ok) {
                    answered.run.result.served(System.nanoTime() - answered.atNs);
                    answered.run.ended();
                } else {
                    fail(answered);
                }
                Planned next = waiting.poll();
                if (next == null) {
                    idle.add(this);
                } else {
                    send(next);
                }
            }
        }

        private void ended() {
            connections--;
            idle.remove(this);
            if (out != null) {
                fail(out);
                out = null;
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
