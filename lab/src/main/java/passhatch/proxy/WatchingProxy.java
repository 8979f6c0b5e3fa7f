package passhatch.proxy;

import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import passhatch.Balancer;
import passhatch.Balancer.Settings;
import passhatch.LeastLoadedBalancer;

/**
 * The control path of one proxy, in this process: its real loop, discovery client and decision module, with
 * no listener and so no requests. It lies in this package as the service keeps these classes to itself.
 */
public final class WatchingProxy {

    private static final long CONNECT_TIMEOUT_US = 250_000;
    /** Backend connections that it may hold; it opens none. */
    private static final int MAX_BACKEND_CONNECTIONS = 1;

    private final ProxyLoop proxy;

    /** Hears of each list that the module has taken in. */
    public interface Observer {
        /** The module has been told; that, and all it does on it, is over. */
        void listApplied(Balancer.ListKind kind, List<Balancer.Server> servers);
    }

    /**
     * Starts one, which fetches the list and then watches. To be called in its event loop, as all that
     * happens to it afterwards happens there.
     *
     * @param zones names of the zones, by position, as discovery writes them
     * @param machineTypes names of the machine kinds, by position
     * @param log takes the lines of the event log
     */
    public WatchingProxy(EventLoop loop, InetSocketAddress discovery, long seed, Settings settings,
            List<String> zones, List<String> machineTypes, Observer observer, PrintStream log) {
        ProxyConfig config = new ProxyConfig("simulated", new InetSocketAddress(
                InetAddress.getLoopbackAddress(), 0), discovery, seed, settings, List.of("any"), List.of(),
                zones, machineTypes, CONNECT_TIMEOUT_US, MAX_BACKEND_CONNECTIONS, EndpointList.EMPTY, null,
                null);
        Clock clock = new Clock();
        EventLog eventLog = new EventLog(log);
        BackendPool pool = new BackendPool(loop, clock, eventLog, CONNECT_TIMEOUT_US,
                settings.limits().keepaliveUs(), MAX_BACKEND_CONNECTIONS);
        proxy = new ProxyLoop(loop, clock, eventLog, config, pool,
                (moduleSettings, moduleSeed, actions) ->
                new ObservedBalancer(new LeastLoadedBalancer(moduleSettings, moduleSeed, actions), observer));
    }

    /** Closes its watch and opens none again. To be called in its event loop. */
    public void stop() {
        proxy.stop();
    }
}
