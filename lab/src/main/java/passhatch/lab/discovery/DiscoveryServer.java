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
 * A stand-in for the discovery service on a loopback address, as the protocol page words it: the whole list,
 * and watches that tell each change. It handles calls one after another and can be made to fail. One event
 * loop owns all its state; the methods here may be called from any other thread and return when it is done.
 *
 * <p>A watch from the present version begins with an object that holds no change.
 */
public final class DiscoveryServer implements Closeable {

    /** An empty line comes after so long without a change. */
    private static final int KEEP_ALIVE_INTERVAL_S = 2;
    /** More changes are remembered than proxies may fall behind in a sitting. */
    private static final int MAX_HISTORY_VERSIONS = 10_000;
    private static final int ACCEPT_BACKLOG = 4_096;

    /** How calls fare. */
    public enum Mode {
        /** They are handled. */
        SERVING,
        /** Each is answered 503 at once. */
        FAILING,
        /** They come in and get no answer. */
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
    /** Answers by the version asked from, until the list changes; many callers ask from the same one. */
    private final Map<Long, EncodedUpdate> updatesByVersion = new HashMap<>();
    private final InetSocketAddress address;
    private Channel serverChannel;
    private Mode mode = Mode.SERVING;

    /** An update as it goes out. */
    record EncodedUpdate(int lines, byte[] bytes) { }

    /** Starts one that lists the endpoints, on a free port. */
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

    public InetSocketAddress address() {
        return address;
    }

    /** The loop that does all its work, to be asked for its processor time. */
    public EventLoop loop() {
        return loop;
    }

    /** Changes some backends in one version and tells all watches; returns that version. */
    public long change(List<Endpoint> changed) {
        return callInLoop(() -> {
            updatesByVersion.clear();
            ListUpdate update = list.change(changed);
            EncodedUpdate encoded = encode(update);
            // A write that fails closes its connection, which then leaves the set.
            List.copyOf(connections).forEach(handler -> handler.sendChange(encoded));
            return update.index();
        });
    }

    /** The version of the list. */
    public long index() {
        return callInLoop(list::index);
    }

    /** Watches that are open and not silenced. */
    public int openWatches() {
        return callInLoop(() -> (int) connections.stream().filter(CallHandler::receivesChanges).count());
    }

    /** Has calls fare so from now on. */
    public void mode(Mode newMode) {
        callInLoop(() -> mode = newMode);
    }

    /** Has that many of the open watches say nothing more, for as long as they stay open. */
    public void silenceWatches(int maxWatches) {
        callInLoop(() -> {
            connections.stream().filter(CallHandler::receivesChanges).limit(maxWatches)
                    .forEach(CallHandler::silence);
            return null;
        });
    }

    /** Ends all open watches, each with a whole answer. */
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

    /** Dies: what is open is reset, new connections are refused. */
    public synchronized void crash() {
        callInLoop(serverChannel::close).syncUninterruptibly();
        callInLoop(() -> {
            queue.clear();
            List.copyOf(connections).forEach(CallHandler::reset);
            return null;
        });
    }

    /**
     * Returns at the same address after it went down.
     *
     * @param keepHistory whether it still knows what changed since earlier versions
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

    // ---- for the handlers, in the loop

    Mode mode() {
        return mode;
    }

    DiscoveryCallQueue queue() {
        return queue;
    }

    DiscoveryListener listener() {
        return listener;
    }

    /** What answers a watch from a version, or with null a call for the whole list. */
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
