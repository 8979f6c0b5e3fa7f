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
final class Fleet {

    /** Work of a request on a warm core, on average. */
    static final double MEAN_WORK_US = 100_000;
    /** Part of the warm servers' time that is in use. */
    static final double UTILISATION = 0.4;
    /** A warm server's requests a second at most. */
    static final double CAPACITY = SimulatedServer.CORES * 1e6 / MEAN_WORK_US;
    /** Any time long after 0, which stands for servers that have always been there. */
    private static final long START_US = 1_000_000_000_000L;
    /** Within this time a change that discovery tells is in force at all instances. */
    private static final long TOLD_WITHIN_US = 200_000;

    private final EventLoop loop = new EventLoop(START_US);
    private final Seconds seconds = new Seconds(START_US);
    private final SplittableRandom random;
    private final Map<String, SimulatedServer> byId = new LinkedHashMap<>();
    private final List<SimulatedServer> servers;
    private final List<SimulatedProxy> proxies = new ArrayList<>();

    Fleet(Size size, long seed) {
        random = new SplittableRandom(seed);
        List<Server> list = Sites.servers(size.servers(), random.nextLong());
        list.forEach(s -> byId.put(s.id(), new SimulatedServer(loop, s)));
        servers = List.copyOf(byId.values());
        double gapUs = 1e6 * size.copies() / (size.servers() * CAPACITY * UTILISATION);
        for (int i = 0; i < size.copies(); i++) {
            proxies.add(new SimulatedProxy(this, size.copies(), i, random.split(), gapUs, list));
        }
    }

    EventLoop loop() {
        return loop;
    }

    Seconds seconds() {
        return seconds;
    }

    Map<String, SimulatedServer> byId() {
        return byId;
    }

    List<SimulatedServer> servers() {
        return servers;
    }

    /** Some servers, drawn from the seed. */
    List<SimulatedServer> draw(int count) {
        List<SimulatedServer> left = new ArrayList<>(servers);
        List<SimulatedServer> drawn = new ArrayList<>();
        while (drawn.size() < count) {
            drawn.add(left.remove(random.nextInt(left.size())));
        }
        return drawn;
    }

    /** Has discovery tell all instances how these servers are listed now, each a little later. */
    void tell(List<SimulatedServer> changed) {
        List<Server> lines = changed.stream().map(SimulatedServer::listed).toList();
        for (SimulatedProxy proxy : proxies) {
            loop.at(loop.nowUs() + random.nextLong(TOLD_WITHIN_US), () -> proxy.changed(lines));
        }
    }

    /** Runs up to the given second since the start. */
    void runUntil(int second) {
        loop.runUntil(START_US + second * 1_000_000L);
    }

    /** Most requests that one server held at a time since this was last asked, for each of its cores. */
    double takeMostHeldPerCore() {
        return servers.stream().mapToInt(SimulatedServer::takeMostHeld).max().orElseThrow()
                / (double) SimulatedServer.CORES;
    }
}
