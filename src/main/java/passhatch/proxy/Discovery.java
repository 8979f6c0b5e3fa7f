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

    private static final long INITIAL_RETRY_DELAY_MS = 50;
    private static final long MAX_RETRY_DELAY_MS = 500;
    /** A call may have to wait for others; after this it is given up. */
    static final long RESPONSE_TIMEOUT_MS = 4_500;
    /**
     * An empty line comes every 2 s, so a watch that has begun and misses one by a second is dead. What it
     * misses counts as told 6 s after it fell silent: that has to hold the time of a second watch too.
     */
    static final long WATCH_IDLE_TIMEOUT_MS = 3_000;
    /** A pause within a list that is longer than this means that its rest will not come. */
    private static final long PARTIAL_LIST_TIMEOUT_MS = 500;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * Where the module does the asking, a call is made so long after one that failed, if it has made none: a
     * change counts as told 6 s after discovery could be reached, however long it was down before. It is
     * longer than the longest pause of the module.
     */
    private static final long MAX_MODULE_RETRY_DELAY_MS = 2_600;
    /** Pauses are drawn between this part of their length and the whole, so that proxies spread out. */
    private static final double MIN_DELAY_FRACTION = 0.5;
    /** What is longer than this is no list of backends. */
    private static final int MAX_OBJECT_BYTES = 1 << 22;

    /** Hears what discovery says. */
    interface Listener {
        void onServerList(EndpointList list);

        /** The call or the watch failed. */
        void onDiscoveryFailure(DiscoveryFailure failure);
    }

    private final EventLoop loop;
    private final EventLog log;
    private final List<String> zones;
    private final List<String> machineTypes;
    private final boolean moduleRequestsWatches;
    private final Listener listener;
    private InetSocketAddress address;
    private long lastIndex;
    private boolean needsFullList;
    private long retryDelayMs = INITIAL_RETRY_DELAY_MS;
    private boolean stopped;
    private CallHandler currentCall;
    /** The watch of the address before, until the present one speaks. */
    private CallHandler previousCall;
    /** The next call; there is one timer at most, so calls that fail do not multiply. */
    private Future<?> scheduledCall;
    private final SplittableRandom random;
    private final DiscoveryCalls calls;

    Discovery(EventLoop loop, Clock clock, EventLog log, ProxyConfig config, Listener listener) {
        this.loop = loop;
        this.log = log;
        this.calls = new DiscoveryCalls(clock, log);
        this.random = new SplittableRandom(config.seed());
        this.zones = config.zones();
        this.machineTypes = config.machineTypes();
        this.address = config.discovery();
        this.listener = listener;
        this.moduleRequestsWatches = config.settings().watch();
        this.lastIndex = config.cachedList().index();
        // A list of version 0 is one to go on from, unless it is none.
        this.needsFullList = lastIndex == 0 && config.cachedList().endpoints().isEmpty();
    }

    DiscoveryCalls calls() {
        return calls;
    }

    /** Starts a watch unless there is one; one that ends is taken up again. */
    void ensureWatching() {
        if (stopped || currentCall != null && !currentCall.isOver) {
            return;
        }
        cancelScheduledCall();
        boolean fetchFullList = needsFullList;
        String path = fetchFullList ? "/v1/endpoints" : "/v1/endpoints?watch=1&from=" + lastIndex;
        CallHandler handler = new CallHandler(fetchFullList,
                calls.begin(fetchFullList ? "list" : "watch from " + lastIndex));
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), readTimeout(RESPONSE_TIMEOUT_MS),
                                handler);
                    }
                });
        currentCall = handler;
        handler.channel = bootstrap.connect(address).addListener((ChannelFuture connecting) -> {
            if (connecting.isSuccess()) {
                DefaultFullHttpRequest request =
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, "discovery");
                connecting.channel().writeAndFlush(request);
            } else if (loop.inEventLoop()) {
                onConnectFailed(handler, connecting.cause());
            } else {
                loop.execute(() -> onConnectFailed(handler, connecting.cause()));
            }
        }).channel();
        // A connection that does not come up is closed before it is told why.
        handler.channel.closeFuture().addListener(closed -> loop.execute(() -> finish(handler)));
    }

    /** Where no socket could be made there is a channel that never closes: the call is over here. */
    private void onConnectFailed(CallHandler handler, Throwable cause) {
        handler.call.setEndIfUnset(DiscoveryCalls.End.NOT_CONNECTED);
        log.line(Kind.DISCOVERY, "discovery: " + cause.getMessage());
        finish(handler);
    }

    /** A call is over, whichever sign of it comes first. */
    private void finish(CallHandler handler) {
        if (!handler.isOver) {
            handler.isOver = true;
            calls.recordEnd(handler.call);
            continueAfter(handler);
        }
    }

    private static ReadTimeoutHandler readTimeout(long timeoutMs) {
        return new ReadTimeoutHandler(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Watches another address from now on. Versions of the old address mean nothing to it, so it is asked for
     * the whole list first. The list held stays until it speaks, and so does the old watch: what that one
     * still tells would else be lost to this proxy, though it was told.
     */
    void switchTo(InetSocketAddress newAddress) {
        if (stopped || newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        lastIndex = 0;
        needsFullList = true;
        retryDelayMs = INITIAL_RETRY_DELAY_MS;
        cancelScheduledCall();
        if (currentCall != null && currentCall.hasReceivedMessage) {
            closePreviousCall();
            previousCall = currentCall;
        } else if (currentCall != null) {
            Channels.close(currentCall.channel);
        }
        currentCall = null;
        if (moduleRequestsWatches) {
            reportFailure(DiscoveryFailure.UNANSWERED);
        } else {
            ensureWatching();
        }
    }

    void stop() {
        stopped = true;
        cancelScheduledCall();
        closePreviousCall();
        if (currentCall != null) {
            Channels.close(currentCall.channel);
        }
    }

    private void closePreviousCall() {
        if (previousCall != null) {
            Channels.close(previousCall.channel);
            previousCall = null;
        }
    }

    private void continueAfter(CallHandler handler) {
        if (stopped || handler != currentCall) {
            return;
        }
        if (handler.hasFetchedFullList) {
            ensureWatching();
            return;
        }
        if (moduleRequestsWatches) {
            reportFailure(handler.call.wasRefused() ? DiscoveryFailure.REFUSED : DiscoveryFailure.UNANSWERED);
            return;
        }
        scheduleCall((long) (retryDelayMs
                * (MIN_DELAY_FRACTION + (1 - MIN_DELAY_FRACTION) * random.nextDouble())));
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }

    /** The module hears of it and says when to ask again, within a limit. */
    private void reportFailure(DiscoveryFailure failure) {
        scheduleCall(MAX_MODULE_RETRY_DELAY_MS);
        listener.onDiscoveryFailure(failure);
    }

    private void scheduleCall(long delayMs) {
        cancelScheduledCall();
        scheduledCall = loop.schedule(this::ensureWatching, delayMs, TimeUnit.MILLISECONDS);
    }

    private void cancelScheduledCall() {
        if (scheduledCall != null) {
            scheduledCall.cancel(false);
            scheduledCall = null;
        }
    }

    /** One answer of discovery: objects of JSON one after the other, or one whole list. */
    private final class CallHandler extends SimpleChannelInboundHandler<HttpObject>
            implements JsonObjectSplitter.Listener {
        private final boolean fetchFullList;
        private final JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_OBJECT_BYTES, this);
        /** Waits for the rest of a list; null where none is coming in. */
        private Future<?> partialListTimeout;
        private boolean isStatusOk;
        private boolean hasReceivedMessage;
        private Channel channel;
        private boolean hasFetchedFullList;
        private boolean isOver;
        private final DiscoveryCalls.Call call;

        CallHandler(boolean fetchFullList, DiscoveryCalls.Call call) {
            this.fetchFullList = fetchFullList;
            this.call = call;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (!isCurrentOrPrevious()) {
                return;
            }
            if (message instanceof HttpResponse response) {
                isStatusOk = response.status().equals(HttpResponseStatus.OK);
                if (!isStatusOk) {
                    call.setEndIfUnset(DiscoveryCalls.End.TURNED_AWAY);
                    log.line(Kind.DISCOVERY, "discovery answered " + response.status());
                    // It may no longer know the version asked for.
                    needsFullList |= response.status().code() < 500;
                    ctx.close();
                    return;
                }
                ctx.pipeline().replace(ReadTimeoutHandler.class, null, readTimeout(WATCH_IDLE_TIMEOUT_MS));
            }
            if (isStatusOk && message instanceof HttpContent content) {
                if (!splitter.add(content.content())) {
                    call.setEndIfUnset(DiscoveryCalls.End.CLOSED_HERE);
                    log.line(Kind.DISCOVERY, "discovery: a list does not come to an end");
                    ctx.close();
                    return;
                }
                restartPartialListTimeout(ctx);
                if (message instanceof LastHttpContent) {
                    splitter.end();
                    ctx.close();
                }
            }
        }

        /**
         * Guards against a watch that breaks off within a list: what discovery wrote counts as told from then
         * on, so the silence between lines is too long to wait for the rest. It was written in one go.
         */
        private void restartPartialListTimeout(ChannelHandlerContext ctx) {
            if (partialListTimeout != null) {
                partialListTimeout.cancel(false);
            }
            partialListTimeout = !splitter.isInsideObject() ? null : loop.schedule(() -> {
                call.setEndIfUnset(DiscoveryCalls.End.SILENT);
                log.line(Kind.DISCOVERY, "discovery: the rest of a list does not come");
                ctx.close();
            }, PARTIAL_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        private boolean isCurrentOrPrevious() {
            return this == currentCall || this == previousCall;
        }

        /** A watch with nothing to tell says so by an empty line: the list held is up to date. */
        @Override
        public void onEmptyLine() {
            if (isCurrentOrPrevious()) {
                calls.recordMessage();
            }
            if (!hasReceivedMessage && !fetchFullList && this == currentCall) {
                hasReceivedMessage = true;
                listener.onServerList(new EndpointList(lastIndex, false, List.of()));
            }
        }

        @Override
        public void onInvalidLine(String line) {
            logSkippedLine("it is no JSON object");
        }

        private void logSkippedLine(String reason) {
            log.line(Kind.DISCOVERY, "discovery: a line is skipped: " + reason);
        }

        @Override
        public void onObject(String json) {
            if (!isCurrentOrPrevious()) {
                return;
            }
            EndpointList list;
            try {
                list = EndpointList.parse(JSON.std.mapFrom(json), zones, machineTypes);
            } catch (IOException | IllegalArgumentException malformed) {
                logSkippedLine(malformed.getMessage().lines().findFirst().orElse(""));
                return;
            }
            hasReceivedMessage = true;
            calls.recordMessage();
            calls.recordList(call, list);
            if (this == previousCall) {
                listener.onServerList(list);
                return;
            }
            closePreviousCall();
            lastIndex = list.index();
            needsFullList = false;
            hasFetchedFullList = fetchFullList;
            retryDelayMs = INITIAL_RETRY_DELAY_MS;
            listener.onServerList(list);
            if (fetchFullList) {
                call.setEndIfUnset(DiscoveryCalls.End.ANSWERED);
                // All that was asked for is in, and its end may never come: until then there is no watch.
                channel.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            call.setEndIfUnset(cause instanceof ReadTimeoutException ? DiscoveryCalls.End.SILENT
                    : DiscoveryCalls.End.BROKEN);
            log.line(Kind.DISCOVERY, "discovery: " + cause);
            ctx.close();
        }
    }
}
