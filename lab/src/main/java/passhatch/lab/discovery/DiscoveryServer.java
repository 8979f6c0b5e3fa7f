package passhatch.lab.discovery;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for the discovery service on a loopback address that follows the protocol page: calls for the
 * full list, and watches that receive each change. It serves one call at a time and can be made to fail. One
 * event loop owns all its state; the public methods may be called from any other thread and return when the
 * action is done.
 *
 * <p>A watch from the current version starts with an object without changes.
 */
public final class DiscoveryServer implements Closeable {

    /** A watch receives an empty line after this time without a change. */
    private static final int KEEP_ALIVE_INTERVAL_S = 2;
    /** Larger than the number of changes by which a proxy can fall behind in an experiment. */
    private static final int MAX_HISTORY_VERSIONS = 10_000;
    private static final int ACCEPT_BACKLOG = 4_096;

    /** How calls are handled. */
    public enum Mode {
        /** Calls are served. */
        SERVING,
        /** Each call is answered 503 at once. */
        FAILING,
        /** Calls are received and get no response. */
        SILENT
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final VersionedList list;
    private final ListUpdate.Layout layout;
    private final DiscoveryListener listener;
    private final DiscoveryCallQueue queue;
    private final Set<CallHandler> connections = new LinkedHashSet<>();
    /**
     * Encoded updates by the version they start from, cached until the list changes because many callers
     * start from the same version.
     */
    private final Map<Long, EncodedUpdate> updatesByVersion = new HashMap<>();
    private final InetSocketAddress address;
    private Channel serverChannel;
    private Mode mode = Mode.SERVING;

    /** An update as it is sent, with its number of backends. */
    record EncodedUpdate(int lines, byte[] bytes) { }

    /**
     * Starts on a free port of the loopback address.
     *
     * @param endpoints the list at version 1
     * @param costs simulated costs of calls
     * @param indented whether messages are spread over several indented lines
     */
    public DiscoveryServer(Collection<Endpoint> endpoints, CallCosts costs, boolean indented,
            DiscoveryListener listener) {
        this.list = new VersionedList(endpoints, MAX_HISTORY_VERSIONS);
        this.layout = indented ? ListUpdate.Layout.INDENTED : ListUpdate.Layout.LINE;
        this.listener = listener;
        this.queue = new DiscoveryCallQueue(loop, System::nanoTime, costs);
        this.serverChannel = listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        this.address = (InetSocketAddress) serverChannel.localAddress();
    }

    private Channel listen(InetSocketAddress bindAddress) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallHandler handler = new CallHandler(DiscoveryServer.this);
                        connections.add(handler);
                        channel.closeFuture().addListener(closed -> connections.remove(handler));
                        channel.pipeline().addLast(new ByteCounter(listener), new HttpServerCodec(),
                                new IdleStateHandler(0, KEEP_ALIVE_INTERVAL_S, 0, TimeUnit.SECONDS), handler);
                    }
                })
                .bind(bindAddress).syncUninterruptibly().channel();
    }

    /** The address that it listens at; it stays the same after {@link #restart}. */
    public InetSocketAddress address() {
        return address;
    }

    /** The event loop that does all the work, for measuring its CPU time. */
    public EventLoop loop() {
        return loop;
    }

    /** Applies changes as one new version, sends them to all watches and returns the version. */
    public long change(List<Endpoint> changed) {
        return callInLoop(() -> {
            updatesByVersion.clear();
            ListUpdate update = list.change(changed);
            EncodedUpdate encoded = encode(update);
            // A copy, because a failed write closes its connection, which removes it from the set.
            List.copyOf(connections).forEach(handler -> handler.sendChange(encoded));
            return update.index();
        });
    }

    /** Returns the current version of the list. */
    public long index() {
        return callInLoop(list::index);
    }

    /** Returns the number of watches that are open and not silenced. */
    public int openWatches() {
        return callInLoop(() -> (int) connections.stream().filter(CallHandler::receivesChanges).count());
    }

    /** Sets how calls are handled from now on. */
    public void mode(Mode newMode) {
        callInLoop(() -> mode = newMode);
    }

    /** Silences up to {@code maxWatches} open watches: they stay open and send nothing more. */
    public void silenceWatches(int maxWatches) {
        callInLoop(() -> {
            connections.stream().filter(CallHandler::receivesChanges).limit(maxWatches)
                    .forEach(CallHandler::silence);
            return null;
        });
    }

    /** Ends all open watches, each with a complete response. */
    public void endWatches() {
        callInLoop(() -> {
            List.copyOf(connections).forEach(CallHandler::endWatch);
            return null;
        });
    }

    /** Resets the connections of all open watches. */
    public void resetWatches() {
        callInLoop(() -> {
            List.copyOf(connections).stream().filter(CallHandler::isWatch).forEach(CallHandler::reset);
            return null;
        });
    }

    /** Simulates a crash: open connections are reset and new ones refused until {@link #restart}. */
    public synchronized void crash() {
        callInLoop(serverChannel::close).syncUninterruptibly();
        callInLoop(() -> {
            queue.clear();
            List.copyOf(connections).forEach(CallHandler::reset);
            return null;
        });
    }

    /**
     * Listens at the same address again after {@link #crash}.
     *
     * @param keepHistory whether the changes since earlier versions are still known; otherwise watches from
     *     these versions start with the full list
     */
    public synchronized void restart(boolean keepHistory) {
        callInLoop(() -> {
            if (!keepHistory) {
                list.forgetHistory();
                updatesByVersion.clear();
            }
            return null;
        });
        serverChannel = listen(address);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // Methods for the connection handlers, called in the event loop.

    Mode mode() {
        return mode;
    }

    DiscoveryCallQueue queue() {
        return queue;
    }

    DiscoveryListener listener() {
        return listener;
    }

    /** Returns the changes since a version or, if it is null, the full list. */
    EncodedUpdate updateSince(Long version) {
        return updatesByVersion.computeIfAbsent(version == null ? -1 : version,
                v -> encode(version == null ? list.fullList() : list.changesSince(version)));
    }

    private EncodedUpdate encode(ListUpdate update) {
        return new EncodedUpdate(update.endpoints().size(), update.encode(layout));
    }

    private <T> T callInLoop(Callable<T> action) {
        return loop.submit(action).syncUninterruptibly().getNow();
    }
}
