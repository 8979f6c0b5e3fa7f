package passhatch.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import passhatch.proxy.EventLog.Kind;

/**
 * The HTTP server for clients: accepts their connections, limits how many are open and closes those that are
 * idle or stalled. Used by the event loop only.
 */
final class ClientServer {

    private static final int ACCEPT_BACKLOG = 1024;
    /** How many times a connection is read in a row before other connections get their turn. */
    private static final int MAX_READS_PER_LOOP = 16;
    /** How often connections are checked for being stalled. */
    private static final long STALLED_CHECK_INTERVAL_US = 100_000;
    /** A connection on which no request begins is closed after this long. */
    private static final long FIRST_REQUEST_TIMEOUT_US = 2_600_000;
    /** A connection that has served a request is closed after being idle for this long. */
    private static final long IDLE_TIMEOUT_US = 15_000_000;
    /** Fraction of the maximum number of connections above which they are closed after a response. */
    private static final double KEEP_ALIVE_MAX_FRACTION = 0.6;
    /** While the proxy is draining, a connection on which no request begins is closed after this long. */
    private static final long DRAINING_FIRST_REQUEST_TIMEOUT_US = 500_000;
    /**
     * Connections that may have waited for this long to be accepted are closed instead. A response may be up
     * to 0.5 s late, so even a request with hardly any time left gets a close by then.
     */
    private static final long MAX_QUEUE_TIME_US = 400_000;
    /** How often the event loop measures its own delay. */
    private static final long LOOP_CHECK_INTERVAL_US = 10_000;
    /** Delays up to this are ignored, as timers commonly fire a millisecond or two late. */
    private static final long TIMER_TOLERANCE_US = 2_000;
    /** Delays from this on are logged: the rules allow less between reading the clock and writing. */
    private static final long LOGGED_LOOP_DELAY_US = 150_000;

    /** Statuses of rejections, whose counts are shown from the start. */
    private static final List<Integer> REJECTION_STATUSES =
            List.of(400, 404, 408, 409, 413, 417, 431, 502, 503);

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestParser parser;
    private final ProxyLoop proxy;
    private final RequestAdmission admission = new RequestAdmission(this);
    private final LookLease lookLease;
    private final ProxyMemory memory;
    private final DrainState drainState;
    private final ClientConnections connections;
    /** Null until the server listens. */
    private SharedListener listener;
    private long nextLoopCheckUs;
    /** Delay of the event loop found by the last check. */
    private long lastLoopDelayUs;
    private long longestLoopDelayUs;
    /** Number of connections that were closed in the accept queue. */
    private long closedUnread;
    private long acceptFailures;
    /** Requests that were rejected before they reached the decision module, by status. */
    private final Map<Integer, Long> rejections = new TreeMap<>();
    /** Requests that were rejected because their client may have left unnoticed. */
    private long rejectedPresenceUnknown;
    /** Requests whose client left before their responses. */
    private long leftUnanswered;
    /** How often reading from a client was paused and went on, and the longest of these pauses. */
    private long readingPauses;
    private long longestReadingPauseUs;

    /**
     * Creates a server that does not listen yet.
     *
     * @param maxConnections maximum number of open connections; at the limit one is closed for a new one
     * @param memory limits the memory for client input and for responses
     */
    ClientServer(EventLoop loop, Clock clock, EventLog log, RequestParser parser, ProxyLoop proxy,
            int maxConnections, ProxyMemory memory, DrainState drainState) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.parser = parser;
        this.proxy = proxy;
        this.connections = new ClientConnections(log, maxConnections);
        this.memory = memory;
        this.drainState = drainState;
        this.lookLease = new LookLease(clock);
        this.nextLoopCheckUs = clock.nowUs();
        REJECTION_STATUSES.forEach(status -> rejections.put(status, 0L));
        RepeatingTask.start(loop, log, "check of the loop's delay", LOOP_CHECK_INTERVAL_US,
                this::checkLoopDelay);
        RepeatingTask.start(loop, log, "check for stalled connections", STALLED_CHECK_INTERVAL_US,
                this::closeStalledConnections);
    }

    /**
     * Starts to listen; the future completes when the socket is bound, or with the error that prevented it.
     *
     * @param shared whether other processes may listen at the same address (SO_REUSEPORT)
     */
    ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
                .channelFactory(() -> new SharedListener(clock, connections::freePlaces,
                        this::acceptFailed))
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, BackendPool.SEND_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BackendPool.WRITE_WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new ClientConnection(ClientServer.this, channel, clock,
                                SharedListener.queueTimeUs(channel)).handlers());
                    }
                });
        if (shared) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        return bootstrap.bind(address).addListener((ChannelFuture bound) -> {
            if (bound.isSuccess()) {
                listener = (SharedListener) bound.channel();
            }
        });
    }

    /** Reads until no bytes are left: a request may be followed by the client's close. */
    private RecvByteBufAllocator readUntilEmpty() {
        return new BudgetedReceiveAllocator(
                new AdaptiveRecvByteBufAllocator(64, 2048, BackendPool.MAX_READ_BYTES)
                        .respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP),
                memory.input());
    }

    private void acceptFailed(IOException cause) {
        acceptFailures++;
        log.line(Kind.CLIENT, "a connection could not be accepted: " + cause.getMessage());
    }

    /** Whether the server is listening, so that clients can connect. */
    boolean isListening() {
        return listener != null && listener.isActive();
    }

    /** Changes the maximum number of open connections and closes those beyond it that may be closed. */
    void setMaxConnections(int newMaximum) {
        connections.setMaximum(newMaximum);
        makePlace();
    }

    /** Stops listening. Open connections and those already in the accept queue are served further. */
    void stopListening() {
        if (listener != null) {
            listener.drainAndClose();
        }
    }

    /** Whether a connection has a request that is unanswered or incomplete, or a response that is unsent. */
    boolean hasOpenRequests() {
        return connections.stream().anyMatch(connection -> !connection.isIdle());
    }

    /** Whether part of a response may not have been delivered yet. */
    boolean hasUnsentResponses() {
        return connections.stream().anyMatch(ClientConnection::hasUnsentResponse);
    }

    /**
     * Whether a client's first request may be on its way: on a connection that is still in the accept queue,
     * or on one that was established less than {@link ClientConnections#NEW_CONNECTION_GRACE_US} ago.
     */
    boolean mayHaveUnreadRequests() {
        long nowUs = clock.nowUs();
        return listener != null && listener.isOpen()
                || connections.stream().anyMatch(connection -> isNewlyConnected(connection, nowUs));
    }

    private static boolean isNewlyConnected(ClientConnection connection, long nowUs) {
        return connection.isIdle() && !connection.hasSentResponse()
                && nowUs - connection.idleSinceUs() < ClientConnections.NEW_CONNECTION_GRACE_US;
    }

    /**
     * Closes idle connections, which clients expect between requests. New connections on which a first
     * request may be on its way stay open.
     */
    void closeIdleConnections() {
        long nowUs = clock.nowUs();
        List<ClientConnection> idle = connections.stream()
                .filter(connection -> connection.isIdle() && !isNewlyConnected(connection, nowUs)).toList();
        forEachIsolated("the close of an idle connection", idle, ClientConnection::closeIfIdle,
                ClientConnection::abort);
    }

    /** Measures the delay of the event loop, as the delay of this task. */
    private void checkLoopDelay() {
        lastLoopDelayUs = currentLoopDelayUs();
        longestLoopDelayUs = Math.max(longestLoopDelayUs, lastLoopDelayUs);
        if (lastLoopDelayUs >= LOGGED_LOOP_DELAY_US) {
            log.line(Kind.STANDSTILL, "the event loop was blocked for " + lastLoopDelayUs / 1_000 + " ms");
        }
        nextLoopCheckUs = clock.nowUs() + LOOP_CHECK_INTERVAL_US;
    }

    /** How late the next delay check is already, beyond the tolerance for timers; 0 if it is not late. */
    private long currentLoopDelayUs() {
        return Math.max(0, clock.nowUs() - nextLoopCheckUs - TIMER_TOLERANCE_US);
    }

    /**
     * How long a request that is read now may have been waiting unread. The client's deadline counts from
     * when it sent the request, also while this process was blocked. The event loop may run the delay check
     * before it reads what arrived meanwhile, so a measured delay counts until the next check.
     */
    long maxUnreadUs() {
        return Math.max(lastLoopDelayUs, currentLoopDelayUs());
    }

    /**
     * How long input that is read now can have been waiting unread at most, provided that the event loop was
     * watching for it: {@link #maxUnreadUs} and what the delay check does not notice.
     */
    long readDelayBoundUs() {
        return maxUnreadUs() + LOOP_CHECK_INTERVAL_US + TIMER_TOLERANCE_US;
    }

    // ---- connections

    /** Registers a new connection, and makes a place for the next one. */
    void connectionOpened(ClientConnection connection) {
        connections.add(connection);
        makePlace();
    }

    /** Removes a closed connection, and accepts new ones again if that was paused. */
    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        makePlace();
    }

    /**
     * Guards against running out of file descriptors: at the maximum number of connections, one is closed for
     * the next new one. If none may be closed, accepting pauses, and new clients wait in the system's accept
     * queue for at most {@link #MAX_QUEUE_TIME_US}.
     */
    private void makePlace() {
        FailureIsolation.run(log, "the eviction of a connection",
                () -> connections.evictUntilPlaceIsFree(clock.nowUs()));
        if (listener != null && listener.isOpen()) {
            listener.setAccepting(connections.freePlaces() > 0);
        }
    }

    /** Closes the connections that may have waited too long for a place. */
    private void closeOverdueQueue() {
        if (listener == null || !listener.isActive() || connections.freePlaces() > 0
                || listener.queueTimeUs() < MAX_QUEUE_TIME_US) {
            return;
        }
        try {
            int closed = listener.closeQueued(ACCEPT_BACKLOG);
            closedUnread += closed;
            if (closed > 0) {
                log.line(Kind.EVICTION, closed + " new connections were closed unread: no connection could be"
                        + " closed for them in time");
            }
        } catch (IOException e) {
            log.line(Kind.EVICTION, "new connections cannot be accepted: " + e.getMessage());
        }
        makePlace();
    }

    /** Checks all connections for being idle or stalled. */
    private void closeStalledConnections() {
        long nowUs = clock.nowUs();
        boolean closesIdle = drainState.closesIdle();
        long firstRequestTimeoutUs = closesIdle ? DRAINING_FIRST_REQUEST_TIMEOUT_US
                : FIRST_REQUEST_TIMEOUT_US;
        long idleTimeoutUs = closesIdle ? 0 : IDLE_TIMEOUT_US;
        forEachIsolated("the check for a stalled connection", connections.snapshot(),
                connection -> connection.closeIfStalled(nowUs, firstRequestTimeoutUs, idleTimeoutUs),
                ClientConnection::abort);
        makePlace();
        closeOverdueQueue();
    }

    // ---- called by connections

    /** The memory budgets of the proxy. */
    ProxyMemory memory() {
        return memory;
    }

    ProxyLoop proxy() {
        return proxy;
    }

    /** Held by the connection that reads much of an upload while memory is scarce. */
    LookLease lookLease() {
        return lookLease;
    }

    /** Takes the requests of clients. */
    RequestAdmission admission() {
        return admission;
    }

    /**
     * Parses a request. The time that it has been waiting is subtracted from its deadline, unless its body is
     * incomplete: then its time counts from its last byte.
     *
     * @param receivedAtUs when its last byte was received at the earliest, in microseconds
     */
    ProxyRequest parse(RequestReader.IncomingRequest incoming, long receivedAtUs)
            throws RequestParser.InvalidRequestException {
        return parser.parse(incoming, incoming.body().isComplete() ? waitedUs(receivedAtUs) : 0);
    }

    /** How long input that was received at the given time may have been waiting for this process. */
    long waitedUs(long receivedAtUs) {
        return Math.max(clock.nowUs() - receivedAtUs, maxUnreadUs());
    }

    /** Whether {@code /ready} is answered with 200. */
    boolean isReady() {
        return proxy.readiness().isReady() && drainState.acceptsClients();
    }

    /**
     * Whether a connection is closed after the last response that it owes. Guards against many clients that
     * keep their connections open: these would use up the maximum, and clients waiting in the accept queue
     * meanwhile would have left by the time they are served.
     */
    boolean closesAfterLastResponse() {
        return drainState.closesAfterResponse()
                || connections.isAboveFraction(KEEP_ALIVE_MAX_FRACTION);
    }

    /** The time in microseconds of the proxy's clock. */
    long nowUs() {
        return clock.nowUs();
    }

    /** Has the connection that holds most for longest give way; false if that is the one that asks. */
    boolean reclaimMemory(MemoryAccount requester) {
        return connections.reclaimMemory(requester);
    }

    /** Counts a request that is rejected before it reaches the decision module. */
    void requestRejected(HttpResponseStatus status) {
        rejections.merge(status.code(), 1L, Long::sum);
    }

    /** Counts a request that is rejected because its client may have left unnoticed. */
    void presenceUnknown() {
        rejectedPresenceUnknown++;
    }

    /**
     * Counts requests whose client has left before their responses, and logs them.
     *
     * @param unansweredIds the ids of these requests, at least one
     * @param clientDescription the client and what was known of its connection, for the log
     */
    void clientLeft(List<String> unansweredIds, String clientDescription) {
        leftUnanswered += unansweredIds.size();
        log.line(Kind.CLIENT_LEFT, "a client has left before the responses to " + unansweredIds.size()
                + " requests, the first is " + unansweredIds.get(0) + clientDescription);
    }

    /** Counts the end of a pause in reading from a client. */
    void readingResumed(long pausedUs) {
        readingPauses++;
        longestReadingPauseUs = Math.max(longestReadingPauseUs, pausedUs);
    }

    /** Adds the metrics of client connections. */
    void addMetrics(Metrics.Sink sink) {
        connections.addMetrics(sink);
        sink.add("clients.closed_unread", closedUnread);
        sink.add("clients.accept_failures", acceptFailures);
        rejections.forEach((status, count) -> sink.add("clients.rejected." + status, count));
        sink.add("clients.rejected_presence_unknown", rejectedPresenceUnknown);
        sink.add("clients.left_unanswered", leftUnanswered);
        sink.add("clients.reading_pauses", readingPauses);
        sink.add("clients.reading_pause_ms_max", longestReadingPauseUs / 1_000);
        sink.add("loop.delay_ms_max", longestLoopDelayUs / 1_000);
    }

    /** Returns a task that logs what the work throws, and then runs the recovery. */
    Runnable isolated(String name, Runnable work, Runnable recovery) {
        return FailureIsolation.isolated(log, name, work, recovery);
    }

    /** Does the work for each item, and the recovery for each on which it throws. */
    <T> void forEachIsolated(String name, Collection<T> items, Consumer<T> work, Consumer<T> recovery) {
        FailureIsolation.forEach(log, name, items, work, recovery);
    }

    /** Logs an error caused by a client. */
    void logClientEvent(String message) {
        log.line(Kind.CLIENT, message);
    }
}
