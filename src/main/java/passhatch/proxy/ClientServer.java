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
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.EventLog.Kind;

/** The callers' side: takes requests over HTTP and gives each its one answer. */
final class ClientServer {

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_READS_PER_LOOP = 16;
    /** How often connections are looked through for those that stall. */
    private static final long STALLED_CHECK_INTERVAL_US = 100_000;
    /** A connection on which nothing is asked at all is closed after this long. */
    private static final long FIRST_REQUEST_TIMEOUT_US = 2_600_000;
    /** A connection that is kept but not used is closed after this long. */
    private static final long IDLE_TIMEOUT_US = 15_000_000;
    /** Part of the connections that may be open from which on no more of them are kept after an answer. */
    private static final double KEEP_ALIVE_MAX_FRACTION = 0.6;
    /** While this proxy is drained, a new connection is closed that asks nothing for this long. */
    private static final long DRAINING_FIRST_REQUEST_TIMEOUT_US = 500_000;
    /** And sooner where others need its place, but not before this. */
    private static final long MIN_IDLE_BEFORE_EVICTION_US = 2_000_000;
    /** The first bytes come within this time of connecting where the client has something to ask. */
    private static final long NEW_CONNECTION_GRACE_US = 100_000;
    /** How often the loop checks whether it was held up. */
    private static final long LOOP_CHECK_INTERVAL_US = 10_000;
    /** Lateness of a beat that says nothing: timers fire up to a millisecond or two late. */
    private static final long TIMER_TOLERANCE_US = 2_000;
    /** Beyond what the rules allow for between reading the clock and writing. */
    private static final long LOGGED_LOOP_DELAY_US = 150_000;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestParser parser;
    private final ProxyLoop proxy;
    private int maxConnections;
    private final BodyBudget budget;
    private final DrainState drainState;
    /** In the order of connecting. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private SharedListener listener;
    private long nextLoopCheckUs;
    private long lastLoopDelayUs;

    /**
     * A server that does not listen yet.
     *
     * @param maxConnections connections held at a time; an idle one is closed for one more
     */
    ClientServer(EventLoop loop, Clock clock, EventLog log, RequestParser parser, ProxyLoop proxy,
            int maxConnections, BodyBudget budget, DrainState drainState) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.parser = parser;
        this.proxy = proxy;
        this.maxConnections = maxConnections;
        this.budget = budget;
        this.drainState = drainState;
        this.nextLoopCheckUs = clock.nowUs();
        checkLoopDelay();
        closeStalledConnections();
    }

    /**
     * Starts to listen; gives the address once it does.
     *
     * @param shared whether other processes may listen there too
     */
    ChannelFuture listen(InetSocketAddress address, boolean shared) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop).channelFactory(SharedListener::new)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BackendPool.WRITE_MARKS)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new ClientConnection(ClientServer.this, channel,
                                clock.nowUs()).handlers());
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

    /** Reads on until nothing is left: behind a request there may be its client's end. */
    private static RecvByteBufAllocator readUntilEmpty() {
        return new AdaptiveRecvByteBufAllocator(64, 2048, BackendPool.MOST_READ)
                .respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP);
    }

    /** Whether clients can connect. */
    boolean isListening() {
        return listener != null && listener.isActive();
    }

    /** Holds to another number of connections from now on. */
    void setMaxConnections(int newMaximum) {
        maxConnections = newMaximum;
        evictExcessConnections();
    }

    /** Takes no more connections; those open, and those that have connected by now, are served on. */
    void stopListening() {
        if (listener != null) {
            listener.emptyAndClose();
        }
    }

    /** Whether a request is open or half in. */
    boolean hasOpenRequests() {
        return connections.stream().anyMatch(connection -> !connection.isIdle());
    }

    /** Whether some of an answer has not been handed to the network yet. */
    boolean hasUnsentResponses() {
        return connections.stream().anyMatch(ClientConnection::hasUnsentResponse);
    }

    /**
     * Whether a first request may be on its way: behind a connection that stands in the accept queue, or on
     * one that has only just come up.
     */
    boolean mayHaveUnreadRequests() {
        long nowUs = clock.nowUs();
        return listener != null && listener.isOpen()
                || connections.stream().anyMatch(connection -> isNewlyConnected(connection, nowUs));
    }

    private static boolean isNewlyConnected(ClientConnection connection, long nowUs) {
        return connection.isIdle() && !connection.hasSentResponse()
                && nowUs - connection.idleSinceUs() < NEW_CONNECTION_GRACE_US;
    }

    /** Closes the connections on which nothing is out or about to be, as clients expect between requests. */
    void closeIdleConnections() {
        long nowUs = clock.nowUs();
        List.copyOf(connections).stream()
                .filter(connection -> connection.isIdle() && !isNewlyConnected(connection, nowUs))
                .forEach(ClientConnection::closeIfIdle);
    }

    private void checkLoopDelay() {
        lastLoopDelayUs = currentLoopDelayUs();
        if (lastLoopDelayUs >= LOGGED_LOOP_DELAY_US) {
            log.line(Kind.STANDSTILL, "the loop stood still for " + lastLoopDelayUs / 1_000 + " ms");
        }
        nextLoopCheckUs = clock.nowUs() + LOOP_CHECK_INTERVAL_US;
        loop.schedule(this::checkLoopDelay, LOOP_CHECK_INTERVAL_US, TimeUnit.MICROSECONDS);
    }

    /** How late the next beat is already, where that is more than timers commonly are. */
    private long currentLoopDelayUs() {
        return Math.max(0, clock.nowUs() - nextLoopCheckUs - TIMER_TOLERANCE_US);
    }

    /**
     * How long a request read now may have stood unread: its client's time has run since it was sent, also
     * while this process was held up and read nothing. The loop may beat before it reads what came meanwhile,
     * so a beat's lateness counts until the next one.
     */
    private long maxUnreadUs() {
        return Math.max(lastLoopDelayUs, currentLoopDelayUs());
    }

    // ---- connections

    /** Counts a new connection in; the one that can best be spared goes where there are too many. */
    void connectionOpened(ClientConnection connection) {
        connections.add(connection);
        evictExcessConnections();
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        evictExcessConnections();
    }

    /**
     * Guards the descriptors: one connection more than may be open closes another that has no request open.
     * If none can be spared no more are accepted until one can; those wait in the system's queue.
     */
    private void evictExcessConnections() {
        long nowUs = clock.nowUs();
        while (connections.size() >= maxConnections) {
            ClientConnection candidate = findEvictionCandidate(nowUs);
            if (candidate == null) {
                break;
            }
            if (!candidate.isLingering() && !candidate.isIdleAfterRead()) {
                continue;
            }
            log.line(Kind.EVICTION, connections.size()
                    + " clients are connected: one that is idle is let go");
            connections.remove(candidate);
            candidate.close();
        }
        if (listener != null && listener.isOpen()) {
            listener.config().setAutoRead(connections.size() < maxConnections);
        }
    }

    /**
     * First those that are about to be closed, and those that never sent a request, the oldest first, as soon
     * as they had the time to; then those that have been idle longest, but none that may be about to send its
     * next.
     */
    private ClientConnection findEvictionCandidate(long nowUs) {
        ClientConnection longestIdle = null;
        for (ClientConnection connection : connections) {
            if (connection.isLingering()) {
                return connection;
            }
            if (!connection.isIdle()) {
                continue;
            }
            long idleUs = nowUs - connection.idleSinceUs();
            if (!connection.hasSentResponse()) {
                if (idleUs >= NEW_CONNECTION_GRACE_US) {
                    return connection;
                }
            } else if (idleUs >= MIN_IDLE_BEFORE_EVICTION_US
                    && (longestIdle == null || connection.idleSinceUs() < longestIdle.idleSinceUs())) {
                longestIdle = connection;
            }
        }
        return longestIdle;
    }

    private void closeStalledConnections() {
        long nowUs = clock.nowUs();
        boolean closesIdle = drainState.closesIdle();
        long firstRequestTimeoutUs = closesIdle ? DRAINING_FIRST_REQUEST_TIMEOUT_US
                : FIRST_REQUEST_TIMEOUT_US;
        long idleTimeoutUs = closesIdle ? 0 : IDLE_TIMEOUT_US;
        List.copyOf(connections).forEach(connection ->
                connection.closeIfStalled(nowUs, firstRequestTimeoutUs, idleTimeoutUs));
        evictExcessConnections();
        loop.schedule(this::closeStalledConnections, STALLED_CHECK_INTERVAL_US, TimeUnit.MICROSECONDS);
    }

    // ---- what connections ask of it

    BodyBudget budget() {
        return budget;
    }

    ProxyLoop proxy() {
        return proxy;
    }

    /** Reads a request that has waited so long behind others of its connection. */
    ProxyRequest parse(RequestReader.IncomingRequest incoming, long waitedUs)
            throws RequestParser.InvalidRequestException {
        return parser.parse(incoming, incoming.body().isWhole() ? Math.max(waitedUs, maxUnreadUs()) : 0);
    }

    boolean isReady() {
        return proxy.readiness().isReady() && drainState.takesClients();
    }

    /**
     * Whether the last answer that a connection owes ends it. Guards against a crowd that asks and stays:
     * kept connections would use up the places, and while none is free, those that wait to be accepted grow
     * so old that their clients have left by the time they are served.
     */
    boolean closesAfterLastResponse() {
        return drainState.answersEndConnections()
                || connections.size() > maxConnections * KEEP_ALIVE_MAX_FRACTION;
    }

    long nowUs() {
        return clock.nowUs();
    }

    /** Tells the operator of a fault of a client's. */
    void logClientEvent(String message) {
        log.line(Kind.CLIENT, message);
    }
}
