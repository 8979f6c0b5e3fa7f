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

/** Simulated proxies that watch one discovery; many proxies share an event loop. */
final class ProxyFleet implements Closeable {

    private static final long LATENCY_GOAL_US = 400_000;
    private static final long DEADLINE_US = 1_000_000;
    // The rules of a site in service, where a proxy that must ask discovery does so at least every 10 s.
    private static final long MAX_CALL_INTERVAL_US = 10_000_000;
    private static final long DRAIN_GRACE_US = 2_500_000;
    private static final double SLOW_START_INITIAL_SHARE = 0.32;
    private static final long SLOW_START_US = 8_600_000;
    private static final double TIP_MULTIPLE = 3;
    private static final long OVERLOAD_DURATION_US = 3_000_000;

    private static final PrintStream NO_LOG = new PrintStream(OutputStream.nullOutputStream());

    private final MultiThreadIoEventLoopGroup group;
    private final InetSocketAddress discovery;
    private final BackendList backends;
    private final boolean discoveryPushes;
    private final long seed;
    private volatile Propagation propagation;
    private int startedProxies;

    /**
     * Creates a fleet without proxies.
     *
     * @param eventLoops number of event loops, each with one thread
     * @param discovery address of discovery
     * @param discoveryPushes whether the proxies treat discovery as a service that pushes changes: then the
     *     discovery client repeats its calls by itself, otherwise the decision module says when to call
     * @param seed random seed of the first proxy; each further proxy uses the next one
     */
    ProxyFleet(int eventLoops, InetSocketAddress discovery, BackendList backends, boolean discoveryPushes,
            long seed) {
        this.group = new MultiThreadIoEventLoopGroup(eventLoops, new DefaultThreadFactory("proxies", true),
                NioIoHandler.newFactory());
        this.discovery = discovery;
        this.backends = backends;
        this.discoveryPushes = discoveryPushes;
        this.seed = seed;
    }

    /** CPU time of the proxies' event loops. */
    EventLoopCpuTime cpuTime() {
        return new EventLoopCpuTime(group);
    }

    /** Number of proxies started so far. */
    int size() {
        return startedProxies;
    }

    /** Reports all lists that proxies apply from now on to the tracker. */
    void trackWith(Propagation tracker) {
        propagation = tracker;
    }

    /** Starts {@code count} more proxies without waiting for them. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            int index = startedProxies++;
            EventLoop loop = group.next();
            loop.execute(() -> new WatchingProxy(loop, discovery, seed + index, createSettings(index),
                    BackendList.ZONES, BackendList.MACHINE_TYPES, new ListObserver(index), NO_LOG));
        }
    }

    /** Settings of one replica; there are as many replicas as backends, spread over the zones. */
    private Settings createSettings(int index) {
        return new SettingsBuilder()
                .requestClass(new RequestClass("any", LATENCY_GOAL_US, DEADLINE_US, 1, 0, Effect.SAFE,
                DedupScope.ALL,
                        0))
                .rules(new Rules(DRAIN_GRACE_US, discoveryPushes ? 0 : MAX_CALL_INTERVAL_US,
                SLOW_START_INITIAL_SHARE, SLOW_START_US, TIP_MULTIPLE,
                        OVERLOAD_DURATION_US))
                .watch(!discoveryPushes)
                .replicas(backends.size(), index % backends.size())
                .zone(index % BackendList.ZONES.size())
                .build();
    }

    /**
     * Reports the lists that one proxy's decision module applies; a cached list at the start does not count.
     */
    private final class ListObserver implements WatchingProxy.Observer {
        private final int proxyIndex;

        ListObserver(int proxyIndex) {
            this.proxyIndex = proxyIndex;
        }

        @Override
        public void listApplied(ListKind kind, List<Server> servers) {
            Propagation tracker = propagation;
            if (kind != ListKind.CACHED && tracker != null) {
                tracker.listApplied(proxyIndex, servers);
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
