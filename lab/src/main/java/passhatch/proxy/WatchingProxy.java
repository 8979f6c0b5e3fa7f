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
 * The control path of one proxy, within this process: the real proxy loop, discovery client and decision
 * module, without a listener and therefore without requests. It is in this package because the classes of the
 * service that it uses are package-private.
 */
public final class WatchingProxy {

    private static final long CONNECT_TIMEOUT_US = 250_000;
    /** Limit of the connections to backends; none is opened without requests. */
    /** Limit on memory in the configuration, in MB. */
    private static final int MEMORY_MB = 192;
    private static final int MAX_BACKEND_CONNECTIONS = 1;

    private final ProxyLoop proxy;

    /** Is notified of each list that the module has applied. */
    public interface Observer {
        /**
         * Called in the event loop of the proxy when the module has applied a list, all its actions included.
         */
        void listApplied(Balancer.ListKind kind, List<Balancer.Server> servers);
    }

    /**
     * Starts a proxy, which fetches the list of servers and then watches it. Must be called in the event
     * loop, which afterwards runs all of its work.
     *
     * @param loop event loop of the proxy
     * @param discovery address of discovery
     * @param seed seed of the decision module
     * @param settings settings of the decision module
     * @param zones names of the zones, by position, as discovery writes them
     * @param machineTypes names of the machine types, by position
     * @param observer is notified of each list that the module has applied
     * @param log receives the lines of the event log
     */
    public WatchingProxy(EventLoop loop, InetSocketAddress discovery, long seed, Settings settings,
            List<String> zones, List<String> machineTypes, Observer observer, PrintStream log) {
        ProxyConfig config = new ProxyConfig("simulated", new InetSocketAddress(
                InetAddress.getLoopbackAddress(), 0), discovery, seed, settings, List.of("any"), List.of(),
                zones, machineTypes, CONNECT_TIMEOUT_US, MAX_BACKEND_CONNECTIONS, MEMORY_MB,
                EndpointList.EMPTY, null, null);
        Clock clock = new Clock();
        EventLog eventLog = new EventLog(log);
        ProxyMemory memory = ProxyMemory.ofHeap(Runtime.getRuntime().maxMemory());
        BackendPool pool = new BackendPool(loop, clock, eventLog, CONNECT_TIMEOUT_US,
                settings.limits().keepaliveUs(), MAX_BACKEND_CONNECTIONS, memory.transfer());
        proxy = new ProxyLoop(loop, clock, eventLog, config, pool,
                (moduleSettings, moduleSeed, actions) ->
                new ObservedBalancer(new LeastLoadedBalancer(moduleSettings, moduleSeed, actions), observer),
                memory, RequestIdTable.ofThisProcess());
    }

    /** Closes the watch for good. Must be called in the event loop of the proxy. */
    public void stop() {
        proxy.stop();
    }
}
