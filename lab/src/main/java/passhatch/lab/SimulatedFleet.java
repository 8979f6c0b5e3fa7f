package passhatch.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import passhatch.Balancer.Server;

/**
 * A fleet in simulated time: replicas with the real decision module, simulated servers, and clients whose
 * load keeps the servers at {@link #UTILISATION}. It runs in one thread, and the same seed gives the same
 * events.
 */
final class SimulatedFleet {

    /** Mean time that a request needs on a core of a warm server, in microseconds. */
    static final double MEAN_WORK_US = 100_000;
    /** Share of the capacity of all servers, when warm, that the clients use. */
    static final double UTILISATION = 0.4;
    /** Requests per second that a warm server can serve. */
    static final double CAPACITY_PER_S = SimulatedServer.CORES * 1e6 / MEAN_WORK_US;
    /** An arbitrary time long after 0: a server that started at 0 counts as warm. */
    private static final long START_US = 1_000_000_000_000L;
    /** Longest time until a replica has received a change from discovery. */
    private static final long MAX_PROPAGATION_US = 200_000;

    private final SimulatedEventLoop loop = new SimulatedEventLoop(START_US);
    private final TrafficStatistics statistics = new TrafficStatistics(START_US);
    private final SplittableRandom random;
    private final Map<String, SimulatedServer> serversById = new LinkedHashMap<>();
    private final List<SimulatedServer> servers;
    private final List<SimulatedProxy> proxies = new ArrayList<>();

    SimulatedFleet(FleetSize size, long seed) {
        random = new SplittableRandom(seed);
        List<Server> serverList = SampleDeployment.servers(size.servers(), random.nextLong());
        serverList.forEach(s -> serversById.put(s.id(), new SimulatedServer(loop, s)));
        servers = List.copyOf(serversById.values());
        double meanGapUs = 1e6 * size.replicas() / (size.servers() * CAPACITY_PER_S * UTILISATION);
        for (int i = 0; i < size.replicas(); i++) {
            proxies.add(new SimulatedProxy(this, size.replicas(), i, random.split(), meanGapUs, serverList));
        }
    }

    SimulatedEventLoop loop() {
        return loop;
    }

    TrafficStatistics statistics() {
        return statistics;
    }

    Map<String, SimulatedServer> serversById() {
        return serversById;
    }

    List<SimulatedServer> servers() {
        return servers;
    }

    /** Returns different servers, chosen at random; {@code count} is at most the number of servers. */
    List<SimulatedServer> drawServers(int count) {
        List<SimulatedServer> remaining = new ArrayList<>(servers);
        List<SimulatedServer> drawn = new ArrayList<>();
        while (drawn.size() < count) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    /** Sends the current list entries of these servers to each replica, after a random propagation delay. */
    void announce(List<SimulatedServer> changed) {
        List<Server> listEntries = changed.stream().map(SimulatedServer::listEntry).toList();
        for (SimulatedProxy proxy : proxies) {
            loop.schedule(loop.nowUs() + random.nextLong(MAX_PROPAGATION_US),
                    () -> proxy.serversChanged(listEntries));
        }
    }

    /** Runs all events up to the given second since the start. */
    void runUntil(int second) {
        loop.runUntil(START_US + second * 1_000_000L);
    }

    /** Returns the most requests that one server held at a time since the last call, divided by its cores. */
    double takePeakRequestsPerCore() {
        return servers.stream().mapToInt(SimulatedServer::takePeakRequests).max().orElseThrow()
                / (double) SimulatedServer.CORES;
    }
}
