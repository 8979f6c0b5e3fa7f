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
    private static final int EMPTY_LINE_EVERY_S = 2;
    /** More changes are remembered than proxies may fall behind in a sitting. */
    private static final int VERSIONS_KEPT = 10_000;
    private static final int BACKLOG = 4_096;

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
    private final Update.Layout layout;
    private final DiscoveryListener listener;
    private final CallQueue queue;
    private final Set<CallHandler> open = new LinkedHashSet<>();
    /** Answers by the version asked from, until the list changes; many callers ask from the same one. */
    private final Map<Long, Answer> answers = new HashMap<>();
    private final InetSocketAddress address;
    private Channel acceptor;
    private Mode mode = Mode.SERVING;

    /** An update as it goes out. */
    record Answer(int lines, byte[] bytes) { }

    /** Starts one that lists the endpoints, on a free port. */
    public DiscoveryServer(Collection<Endpoint> endpoints, CallCosts costs, boolean indented,
            DiscoveryListener listener) {
        this.list = new VersionedList(endpoints, VERSIONS_KEPT);
        this.layout = indented ? Update.Layout.INDENTED : Update.Layout.LINE;
        this.listener = listener;
        this.queue = new CallQueue(loop, System::nanoTime, costs);
        this.acceptor = listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        this.address = (InetSocketAddress) acceptor.localAddress();
    }

    private Channel listen(InetSocketAddress at) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        CallHandler handler = new CallHandler(DiscoveryServer.this);
                        open.add(handler);
                        ch.closeFuture().addListener(closed -> open.remove(handler));
                        ch.pipeline().addLast(new ByteCounter(listener), new HttpServerCodec(),
                                new IdleStateHandler(0, EMPTY_LINE_EVERY_S, 0, TimeUnit.SECONDS), handler);
                    }
                })
                .bind(at).syncUninterruptibly().channel();
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
        return inLoop(() -> {
            answers.clear();
            Update update = list.change(changed);
            Answer answer = answer(update);
            // A write that fails closes its connection, which then leaves the set.
            List.copyOf(open).forEach(handler -> handler.tell(answer));
            return update.index();
        });
    }

    /** The version of the list. */
    public long index() {
        return inLoop(list::index);
    }

    /** Watches that are open and not silenced. */
    public int watches() {
        return inLoop(() -> (int) open.stream().filter(CallHandler::isTold).count());
    }

    /** Has calls fare so from now on. */
    public void mode(Mode other) {
        inLoop(() -> mode = other);
    }

    /** Has that many of the open watches say nothing more, for as long as they stay open. */
    public void silence(int most) {
        inLoop(() -> {
            open.stream().filter(CallHandler::isTold).limit(most).forEach(CallHandler::silence);
            return null;
        });
    }

    /** Ends all open watches, each with a whole answer. */
    public void endWatches() {
        inLoop(() -> {
            List.copyOf(open).forEach(CallHandler::endWatch);
            return null;
        });
    }

    /** Resets the connections of all open watches. */
    public void resetWatches() {
        inLoop(() -> {
            List.copyOf(open).stream().filter(CallHandler::isWatch).forEach(CallHandler::reset);
            return null;
        });
    }

    /** Dies: what is open is reset, new connections are refused. */
    public synchronized void goDown() {
        inLoop(acceptor::close).syncUninterruptibly();
        inLoop(() -> {
            queue.clear();
            List.copyOf(open).forEach(CallHandler::reset);
            return null;
        });
    }

    /**
     * Returns at the same address after it went down.
     *
     * @param remembering whether it still knows what changed since earlier versions
     */
    public synchronized void comeBack(boolean remembering) {
        inLoop(() -> {
            if (!remembering) {
                list.forgetHistory();
                answers.clear();
            }
            return null;
        });
        acceptor = listen(address);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    // ---- for the handlers, in the loop

    Mode mode() {
        return mode;
    }

    CallQueue queue() {
        return queue;
    }

    DiscoveryListener listener() {
        return listener;
    }

    /** What answers a watch from a version, or with null a call for the whole list. */
    Answer answerFrom(Long version) {
        return answers.computeIfAbsent(version == null ? -1 : version,
                v -> answer(version == null ? list.whole() : list.since(version)));
    }

    private Answer answer(Update update) {
        return new Answer(update.endpoints().size(), update.bytes(layout));
    }

    private <T> T inLoop(Callable<T> what) {
        return loop.submit(what).syncUninterruptibly().getNow();
    }
}
