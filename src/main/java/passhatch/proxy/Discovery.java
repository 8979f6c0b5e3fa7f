package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import passhatch.Balancer.DiscoveryFailure;
import passhatch.proxy.EventLog.Kind;

/**
 * Watches discovery for the list of backends. A watch that ends is taken up again from the last version
 * heard; where discovery will not do that, the whole list is fetched first.
 */
final class Discovery {

    private static final long FIRST_PAUSE_MS = 50;
    private static final long LONGEST_PAUSE_MS = 500;
    /** A call may have to wait for others; after this it is given up. */
    static final long ANSWER_MS = 4_500;
    /**
     * An empty line comes every 2 s, so a watch that has begun and misses one by a second is dead. What it
     * misses counts as told 6 s after it fell silent: that has to hold the time of a second watch too.
     */
    static final long SILENCE_MS = 3_000;
    /** A pause within a list that is longer than this means that its rest will not come. */
    private static final long REST_MS = 500;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * Where the module does the asking, a call is made so long after one that failed, if it has made none: a
     * change counts as told 6 s after discovery could be reached, however long it was down before. It is
     * longer than the longest pause of the module.
     */
    private static final long LONGEST_ASK_PAUSE_MS = 2_600;
    /** Pauses are drawn between this part of their length and the whole, so that proxies spread out. */
    private static final double LEAST_PART_OF_PAUSE = 0.5;
    /** What is longer than this is no list of backends. */
    private static final int LONGEST_OBJECT = 1 << 22;

    /** Hears what discovery says. */
    interface Listener {
        void listed(EndpointList list);

        /** The call or the watch failed. */
        void failed(DiscoveryFailure how);
    }

    private final EventLoop loop;
    private final EventLog log;
    private final List<String> zones;
    private final List<String> models;
    private final boolean onRequest;
    private final Listener listener;
    private InetSocketAddress address;
    private long index;
    private boolean whole;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean stopped;
    private Watch current;
    /** The watch of the address before, until the present one speaks. */
    private Watch previous;
    /** The next call; there is one timer at most, so calls that fail do not multiply. */
    private Future<?> next;
    private final SplittableRandom random;
    private final DiscoveryCalls calls;

    Discovery(EventLoop loop, Clock clock, EventLog log, ProxyConfig config, Listener listener) {
        this.loop = loop;
        this.log = log;
        this.calls = new DiscoveryCalls(clock, log);
        this.random = new SplittableRandom(config.seed());
        this.zones = config.zones();
        this.models = config.machineTypes();
        this.address = config.discovery();
        this.listener = listener;
        this.onRequest = config.settings().watch();
        this.index = config.cachedList().index();
        // A list of version 0 is one to go on from, unless it is none.
        this.whole = index == 0 && config.cachedList().endpoints().isEmpty();
    }

    DiscoveryCalls calls() {
        return calls;
    }

    /** Starts a watch unless there is one; one that ends is taken up again. */
    void watch() {
        if (stopped || current != null && !current.isOver) {
            return;
        }
        cancelNext();
        boolean fetch = whole;
        String path = fetch ? "/v1/endpoints" : "/v1/endpoints?watch=1&from=" + index;
        Watch watch = new Watch(fetch, calls.begin(fetch ? "list" : "watch from " + index));
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), silentFor(ANSWER_MS), watch);
                    }
                });
        current = watch;
        watch.channel = bootstrap.connect(address).addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                        path);
                get.headers().set(HttpHeaderNames.HOST, "discovery");
                done.channel().writeAndFlush(get);
            } else if (loop.inEventLoop()) {
                notConnected(watch, done.cause());
            } else {
                loop.execute(() -> notConnected(watch, done.cause()));
            }
        }).channel();
        // A connection that does not come up is closed before it is told why.
        watch.channel.closeFuture().addListener(closed -> loop.execute(() -> over(watch)));
    }

    /** Where no socket could be made there is a channel that never closes: the call is over here. */
    private void notConnected(Watch watch, Throwable cause) {
        watch.call.endsBy(DiscoveryCalls.End.NOT_CONNECTED);
        log.line(Kind.DISCOVERY, "discovery: " + cause.getMessage());
        over(watch);
    }

    /** A call is over, whichever sign of it comes first. */
    private void over(Watch watch) {
        if (!watch.isOver) {
            watch.isOver = true;
            calls.ended(watch.call);
            ended(watch);
        }
    }

    private static ReadTimeoutHandler silentFor(long ms) {
        return new ReadTimeoutHandler(ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Watches another address from now on. Versions of the old address mean nothing to it, so it is asked for
     * the whole list first. The list held stays until it speaks, and so does the old watch: what that one
     * still tells would else be lost to this proxy, though it was told.
     */
    void moveTo(InetSocketAddress other) {
        if (stopped || other.equals(address)) {
            return;
        }
        address = other;
        index = 0;
        whole = true;
        pauseMs = FIRST_PAUSE_MS;
        cancelNext();
        if (current != null && current.heard) {
            endPrevious();
            previous = current;
        } else if (current != null) {
            Channels.close(current.channel);
        }
        current = null;
        if (onRequest) {
            askAgain(DiscoveryFailure.UNANSWERED);
        } else {
            watch();
        }
    }

    void stop() {
        stopped = true;
        cancelNext();
        endPrevious();
        if (current != null) {
            Channels.close(current.channel);
        }
    }

    private void endPrevious() {
        if (previous != null) {
            Channels.close(previous.channel);
            previous = null;
        }
    }

    private void ended(Watch watch) {
        if (stopped || watch != current) {
            return;
        }
        if (watch.fetched) {
            watch();
            return;
        }
        if (onRequest) {
            askAgain(watch.call.wasTurnedAway() ? DiscoveryFailure.REFUSED : DiscoveryFailure.UNANSWERED);
            return;
        }
        callIn((long) (pauseMs * (LEAST_PART_OF_PAUSE + (1 - LEAST_PART_OF_PAUSE) * random.nextDouble())));
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }

    /** The module hears of it and says when to ask again, within a limit. */
    private void askAgain(DiscoveryFailure how) {
        callIn(LONGEST_ASK_PAUSE_MS);
        listener.failed(how);
    }

    private void callIn(long ms) {
        cancelNext();
        next = loop.schedule(this::watch, ms, TimeUnit.MILLISECONDS);
    }

    private void cancelNext() {
        if (next != null) {
            next.cancel(false);
            next = null;
        }
    }

    /** One answer of discovery: objects of JSON one after the other, or one whole list. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject>
            implements ObjectSplitter.Listener {
        private final boolean fetch;
        private final ObjectSplitter objects = new ObjectSplitter(LONGEST_OBJECT, this);
        /** Waits for the rest of a list; null where none is coming in. */
        private Future<?> rest;
        private boolean ok;
        private boolean heard;
        private Channel channel;
        private boolean fetched;
        private boolean isOver;
        private final DiscoveryCalls.Call call;

        Watch(boolean fetch, DiscoveryCalls.Call call) {
            this.fetch = fetch;
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (!isHeard()) {
                return;
            }
            if (message instanceof HttpResponse response) {
                ok = response.status().equals(HttpResponseStatus.OK);
                if (!ok) {
                    call.endsBy(DiscoveryCalls.End.TURNED_AWAY);
                    log.line(Kind.DISCOVERY, "discovery answered " + response.status());
                    // It may no longer know the version asked for.
                    whole |= response.status().code() < 500;
                    ctx.close();
                    return;
                }
                ctx.pipeline().replace(ReadTimeoutHandler.class, null, silentFor(SILENCE_MS));
            }
            if (ok && message instanceof HttpContent content) {
                if (!objects.add(content.content())) {
                    call.endsBy(DiscoveryCalls.End.CLOSED_HERE);
                    log.line(Kind.DISCOVERY, "discovery: a list does not come to an end");
                    ctx.close();
                    return;
                }
                expectRest(ctx);
                if (message instanceof LastHttpContent) {
                    objects.end();
                    ctx.close();
                }
            }
        }

        /**
         * Guards against a watch that breaks off within a list: what discovery wrote counts as told from then
         * on, so the silence between lines is too long to wait for the rest. It was written in one go.
         */
        private void expectRest(ChannelHandlerContext ctx) {
            if (rest != null) {
                rest.cancel(false);
            }
            rest = !objects.isWithin() ? null : loop.schedule(() -> {
                call.endsBy(DiscoveryCalls.End.SILENT);
                log.line(Kind.DISCOVERY, "discovery: the rest of a list does not come");
                ctx.close();
            }, REST_MS, TimeUnit.MILLISECONDS);
        }

        private boolean isHeard() {
            return this == current || this == previous;
        }

        /** A watch with nothing to tell says so by an empty line: the list held is up to date. */
        @Override
        public void emptyLine() {
            if (isHeard()) {
                calls.heard();
            }
            if (!heard && !fetch && this == current) {
                heard = true;
                listener.listed(new EndpointList(index, false, List.of()));
            }
        }

        @Override
        public void noise(String line) {
            skipped("it is no JSON object");
        }

        private void skipped(String why) {
            log.line(Kind.DISCOVERY, "discovery: a line is skipped: " + why);
        }

        @Override
        public void object(String json) {
            if (!isHeard()) {
                return;
            }
            EndpointList list;
            try {
                list = EndpointList.of(JSON.std.mapFrom(json), zones, models);
            } catch (IOException | IllegalArgumentException bad) {
                skipped(bad.getMessage().lines().findFirst().orElse(""));
                return;
            }
            heard = true;
            calls.heard();
            calls.took(call, list);
            if (this == previous) {
                listener.listed(list);
                return;
            }
            endPrevious();
            index = list.index();
            whole = false;
            fetched = fetch;
            pauseMs = FIRST_PAUSE_MS;
            listener.listed(list);
            if (fetch) {
                call.endsBy(DiscoveryCalls.End.ANSWERED);
                // All that was asked for is in, and its end may never come: until then there is no watch.
                channel.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            call.endsBy(cause instanceof ReadTimeoutException ? DiscoveryCalls.End.SILENT
                    : DiscoveryCalls.End.BROKEN);
            log.line(Kind.DISCOVERY, "discovery: " + cause);
            ctx.close();
        }
    }
}
