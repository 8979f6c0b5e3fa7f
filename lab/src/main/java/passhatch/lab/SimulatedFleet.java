package passhatch.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import passhatch.Balancer.Server;

/**
 * A fleet in simulated time: instances of the real module, modelled servers, and clients that keep the
 * servers busy to a given part. One thread runs it; a seed gives the same run, event by event.
 */
final class SimulatedFleet {

    /** Work of a request on a warm core, on average. */
    static final double MEAN_WORK_US = 100_000;
    /** Part of the warm servers' time that is in use. */
    static final double UTILISATION = 0.4;
    /** A warm server's requests a second at most. */
    static final double CAPACITY_PER_S = SimulatedServer.CORES * 1e6 / MEAN_WORK_US;
    /** Any time long after 0, which stands for servers that have always been there. */
    private static final long START_US = 1_000_000_000_000L;
    /** Within this time a change that discovery tells is in force at all instances. */
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

    /** Some servers, drawn from the seed. */
    List<SimulatedServer> drawServers(int count) {
        List<SimulatedServer> remaining = new ArrayList<>(servers);
        List<SimulatedServer> drawn = new ArrayList<>();
        while (drawn.size() < count) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    /** Has discovery tell all instances how these servers are listed now, each a little later. */
    void announce(List<SimulatedServer> changed) {
        List<Server> listEntries = changed.stream().map(SimulatedServer::listEntry).toList();
        for (SimulatedProxy proxy : proxies) {
            loop.schedule(loop.nowUs() + random.nextLong(MAX_PROPAGATION_US),
                    () -> proxy.serversChanged(listEntries));
        }
    }

    /** Runs up to the given second since the start. */
    void runUntil(int second) {
        loop.runUntil(START_US + second * 1_000_000L);
    }

    /** Most requests that one server held at a time since this was last asked, for each of its cores. */
    double takePeakRequestsPerCore() {
        return servers.stream().mapToInt(SimulatedServer::takePeakHeld).max().orElseThrow()
                / (double) SimulatedServer.CORES;
    }
}
