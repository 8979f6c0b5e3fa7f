package passhatch.lab.control;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Server;
import passhatch.Balancer.Settings;
import passhatch.SettingsBuilder;
import passhatch.proxy.WatchingProxy;

/** Simulated proxies that watch one discovery, many to an event loop. */
final class ProxyFleet implements Closeable {

    private static final long AIM_US = 400_000;
    private static final long DEADLINE_US = 1_000_000;
    /** The rules of a site in service; a proxy that has to ask discovery may go without for 10 s. */
    private static final long ASK_WITHIN_US = 10_000_000;
    private static final long DRAIN_GRACE_US = 2_500_000;
    private static final double COLD_FROM = 0.32;
    private static final long COLD_US = 8_600_000;
    private static final double TIP_MULTIPLE = 3;
    private static final long OVERLOAD_US = 3_000_000;

    private static final PrintStream NO_LOG = new PrintStream(OutputStream.nullOutputStream());

    private final MultiThreadIoEventLoopGroup group;
    private final InetSocketAddress discovery;
    private final BackendList backends;
    private final boolean pushed;
    private final long seed;
    private volatile Propagation propagation;
    private int proxies;

    /**
     * No proxy yet.
     *
     * @param pushed whether discovery counts as one that pushes: then the client repeats its calls by itself,
     *     else the module says when
     * @param seed of the first proxy
     */
    ProxyFleet(int loops, InetSocketAddress discovery, BackendList backends, boolean pushed, long seed) {
        this.group = new MultiThreadIoEventLoopGroup(loops, new DefaultThreadFactory("proxies", true),
                NioIoHandler.newFactory());
        this.discovery = discovery;
        this.backends = backends;
        this.pushed = pushed;
        this.seed = seed;
    }

    ProcessorTime processorTime() {
        return new ProcessorTime(group);
    }

    int size() {
        return proxies;
    }

    /** Has all lists from now on counted there. */
    void countAt(Propagation counted) {
        propagation = counted;
    }

    /** Starts so many more proxies, and waits for nothing. */
    void start(int more) {
        for (int i = 0; i < more; i++) {
            int number = proxies++;
            EventLoop loop = group.next();
            loop.execute(() -> new WatchingProxy(loop, discovery, seed + number, settings(number),
                    BackendList.ZONES, BackendList.MODELS, new Seen(number), NO_LOG));
        }
    }

    /** As many replicas as backends, spread over the zones. */
    private Settings settings(int number) {
        return new SettingsBuilder()
                .requestClass(new RequestClass("any", AIM_US, DEADLINE_US, 1, 0, Effect.SAFE, DedupScope.ALL,
                        0))
                .rules(new Rules(DRAIN_GRACE_US, pushed ? 0 : ASK_WITHIN_US, COLD_FROM, COLD_US, TIP_MULTIPLE,
                        OVERLOAD_US))
                .watch(!pushed)
                .replicas(backends.size(), number % backends.size())
                .zone(number % BackendList.ZONES.size())
                .build();
    }

    /** What one proxy's module takes in. */
    private final class Seen implements WatchingProxy.Observer {
        private final int number;

        Seen(int number) {
            this.number = number;
        }

        @Override
        public void listApplied(ListKind kind, List<Server> servers) {
            Propagation counted = propagation;
            if (kind != ListKind.CACHED && counted != null) {
                counted.inForce(number, servers);
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
