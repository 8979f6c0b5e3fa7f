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
 * Client of discovery, which keeps the list of backends up to date. It holds one watch open, over which
 * discovery sends full lists and changes. A watch that ends is resumed from the last version received; if
 * discovery rejects that version, the full list is fetched first. Not thread-safe: used on the event loop
 * only.
 */
final class Discovery {

    private static final long INITIAL_RETRY_DELAY_MS = 50;
    private static final long MAX_RETRY_DELAY_MS = 500;
    /**
     * Longest silence in milliseconds before discovery answers a call. A call may have to wait for the calls
     * of other clients; after this time it is given up.
     */
    static final long RESPONSE_TIMEOUT_MS = 4_500;
    /**
     * Longest silence in milliseconds on an established watch. Discovery sends an empty line every 2 s, so a
     * watch on which one is a second late is dead. The proxy is expected to know changes that it misses 6 s
     * after the watch fell silent, so this time has to leave room for opening a second watch.
     */
    static final long WATCH_IDLE_TIMEOUT_MS = 3_000;
    /** Longest pause in milliseconds within a list; after it the rest is not expected to arrive. */
    private static final long PARTIAL_LIST_TIMEOUT_MS = 500;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /**
     * Longest time in milliseconds between a failed call and the next one if the decision module decides when
     * to call. If the module has requested no call by then, one is made anyway: the proxy is expected to know
     * a change 6 s after discovery has become reachable, however long discovery was down. It is longer than
     * the longest backoff delay of the module, so it takes effect only if the module requests nothing.
     */
    private static final long MAX_MODULE_RETRY_DELAY_MS = 2_600;
    /**
     * Least part of a retry delay that is waited. Delays are drawn at random between this part and the whole,
     * so that the proxies of a fleet don't all call at the same time.
     */
    private static final double MIN_DELAY_FRACTION = 0.5;
    /** Most bytes of one JSON object or line; anything longer is not a list of backends. */
    private static final int MAX_OBJECT_BYTES = 1 << 22;

    /** Is notified of lists from discovery and of failed calls. */
    interface Listener {
        /**
         * Called for each list. A change list without endpoints means that the known list is up to date.
         */
        void onServerList(EndpointList list);

        /**
         * Called when a call failed or the address was changed, if the decision module is to decide when to
         * call next. Otherwise {@link Discovery} retries on its own.
         */
        void onDiscoveryFailure(DiscoveryFailure failure);
    }

    private static final long ABANDONED_CHECK_INTERVAL_US = 1_000_000;

    private final EventLoop loop;
    private final EventLog log;
    private final List<String> zones;
    private final List<String> machineTypes;
    private final boolean moduleRequestsWatches;
    private final Listener listener;
    private InetSocketAddress address;
    /** Version of the last list received; a watch resumes from it. */
    private long lastIndex;
    /** The next call fetches the full list because there is no version to resume from. */
    private boolean needsFullList;
    private long retryDelayMs = INITIAL_RETRY_DELAY_MS;
    private boolean stopped;
    /** Whether a call has been made. */
    private boolean started;
    /** The last call made to the current address; null if there is none. */
    private CallHandler currentCall;
    /** The watch of the previous address, until the current address sends a list; null if there is none. */
    private CallHandler previousCall;
    /** Timer of the next call. There is at most one, so that failed calls do not multiply. */
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
        // Version 0 is a valid version to resume from, unless it stands for an empty list.
        this.needsFullList = lastIndex == 0 && config.cachedList().endpoints().isEmpty();
        RepeatingTask.start(loop, log, "check for the next call to discovery", ABANDONED_CHECK_INTERVAL_US,
                this::resumeIfAbandoned);
    }

    DiscoveryCalls calls() {
        return calls;
    }

    /**
     * Makes a call unless one is open: opens a watch, or fetches the full list first if there is no version
     * to resume from. Calls that end are followed by others until {@link #stop}.
     */
    void ensureWatching() {
        if (stopped || currentCall != null && !currentCall.isOver) {
            return;
        }
        started = true;
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
                        channel.pipeline().addLast(
                                new HttpClientCodec(SelectedHeaders.forResponses(), false, false),
                                readTimeout(RESPONSE_TIMEOUT_MS), handler);
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
        // If connecting fails, the close future completes before the listener above is notified of the cause.
        // So the call is finished in a later task, after the cause has been recorded.
        handler.channel.closeFuture().addListener(closed -> loop.execute(() -> finish(handler)));
    }

    /**
     * Finishes a call whose connection was not established. It can't be left to the close future: if no
     * socket could be created, that future never completes.
     */
    private void onConnectFailed(CallHandler handler, Throwable cause) {
        handler.call.setEndIfUnset(DiscoveryCalls.End.NOT_CONNECTED);
        log.line(Kind.DISCOVERY, "discovery: " + cause.getMessage());
        finish(handler);
    }

    /** Records the end of a call and arranges the next one, once for each call. */
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
     * Watches another address from now on. Versions of the old address are meaningless there, so the full
     * list is fetched first. Until the new address has sent a list, the current list stays in use and the old
     * watch stays open, because changes that the old address still sends would otherwise be lost.
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

    /**
     * Fetches the full list after a delay, because one was received that could not be applied: its version
     * must not be resumed from.
     */
    void fetchAgain() {
        needsFullList = true;
        if (currentCall != null && currentCall.channel != null) {
            currentCall.hasFetchedFullList = false;
            Channels.close(currentCall.channel);
        }
    }

    /** Guards against an error that drops the task which is to make the next call: nothing else would. */
    private void resumeIfAbandoned() {
        boolean callOpen = currentCall != null && !currentCall.isOver;
        boolean callScheduled = scheduledCall != null && !scheduledCall.isDone();
        if (started && !stopped && !callOpen && !callScheduled) {
            log.line(Kind.DISCOVERY, "discovery: no call is open or scheduled; calling again");
            ensureWatching();
        }
    }

    /** Closes all calls and makes no more. */
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

    /**
     * Arranges what follows a finished call: a watch after the full list was fetched, otherwise a retry after
     * a delay or on request of the decision module.
     */
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

    /** Leaves it to the decision module when to call again, up to a longest delay. */
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

    /** Handles the response to one call: a sequence of JSON objects for a watch, or one full list. */
    private final class CallHandler extends SimpleChannelInboundHandler<HttpObject>
            implements JsonObjectSplitter.Listener {
        private final boolean fetchFullList;
        private final JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_OBJECT_BYTES, this);
        /** Time-out for the rest of an incomplete list; null if no list is incomplete. */
        private Future<?> partialListTimeout;
        private boolean isStatusOk;
        /** A list, or the first empty line of a watch, has been received. */
        private boolean hasReceivedMessage;
        private Channel channel;
        /** This call fetched the full list and received it. */
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
                    // Discovery may no longer know the requested version.
                    needsFullList |= response.status().code() < 500;
                    ctx.close();
                    return;
                }
                ctx.pipeline().replace(ReadTimeoutHandler.class, null, readTimeout(WATCH_IDLE_TIMEOUT_MS));
            }
            if (isStatusOk && message instanceof HttpContent content) {
                if (!splitter.add(content.content())) {
                    call.setEndIfUnset(DiscoveryCalls.End.CLOSED_HERE);
                    log.line(Kind.DISCOVERY, "discovery: a list or line exceeds the size limit; "
                            + "closing the connection");
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
         * Restarts the time-out for the rest of a list, or stops it if no list is incomplete. The proxy is
         * expected to know a list from the time discovery writes it, so the time-out for a silent watch is
         * too long if the watch stalls within a list. Discovery writes each list at once, so a short time-out
         * suffices.
         */
        private void restartPartialListTimeout(ChannelHandlerContext ctx) {
            if (partialListTimeout != null) {
                partialListTimeout.cancel(false);
            }
            partialListTimeout = !splitter.isInsideObject() ? null : loop.schedule(() -> {
                call.setEndIfUnset(DiscoveryCalls.End.SILENT);
                log.line(Kind.DISCOVERY, "discovery: the rest of a list did not arrive in time; "
                        + "closing the connection");
                ctx.close();
            }, PARTIAL_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /** Whether messages of this call still count; calls that were replaced are ignored. */
        private boolean isCurrentOrPrevious() {
            return this == currentCall || this == previousCall;
        }

        /** On a watch an empty line means that there are no changes, so the known list is up to date. */
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
            logSkippedLine("not a JSON object");
        }

        private void logSkippedLine(String reason) {
            log.line(Kind.DISCOVERY, "discovery: skipped an invalid message: " + reason);
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
            applyList(list);
            if (fetchFullList) {
                call.setEndIfUnset(DiscoveryCalls.End.ANSWERED);
                // The full list is complete, but the end of the response may never arrive. The watch is
                // opened only after this call has ended, so the connection is closed here.
                channel.close();
            }
        }

        /** Applies a list. One that cannot be applied is fetched again in full, or it would be lost. */
        private void applyList(EndpointList list) {
            FailureIsolation.run(log, "the application of a list", () -> listener.onServerList(list),
                    Discovery.this::fetchAgain);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            call.setEndIfUnset(cause instanceof ReadTimeoutException ? DiscoveryCalls.End.SILENT
                    : DiscoveryCalls.End.BROKEN);
            log.line(Kind.DISCOVERY, "discovery: the connection failed: " + cause);
            ctx.close();
        }
    }
}
