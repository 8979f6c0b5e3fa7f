package passhatch.lab;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Limits;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.Balancer.Settings;
import passhatch.SettingsBuilder;

/**
 * The deployment that is measured: settings like those of a site in production (no probes, one call on a
 * connection, 3 attempts) with one request class, and lists of servers.
 */
final class SampleDeployment {

    static final int ZONES = 3;
    /**
     * Deadline of requests. It is longer than a request waits in the queue of a server under normal load, so
     * that time-outs indicate a fault.
     */
    static final long DEADLINE_US = 2_000_000;
    static final Rules RULES = new Rules(2_500_000, 0, 0.32, 8_600_000, 3, 3_000_000);

    private SampleDeployment() { }

    /**
     * Returns the settings of one replica.
     *
     * @param replicas number of replicas that send to the same servers
     * @param replicaIndex the number of this replica, from 0
     */
    static Settings settings(int replicas, int replicaIndex) {
        return new SettingsBuilder()
                .requestClass(new RequestClass(
                        "read", 1_000_000, DEADLINE_US, 1, 0.5, Effect.SAFE, DedupScope.ALL, 0))
                .limits(new Limits(3, true, false, 1_000_000, 1, 30_000_000, true))
                .rules(RULES)
                .replicas(replicas, replicaIndex)
                .zone(replicaIndex % ZONES)
                .build();
    }

    /**
     * Returns warm servers with random addresses, assigned to the zones in turn; the same seed gives the
     * same.
     */
    static List<Server> servers(int count, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Set<String> names = new LinkedHashSet<>();
        while (names.size() < count) {
            names.add("10." + random.nextInt(256) + "." + random.nextInt(256) + "." + random.nextInt(1, 255)
                    + ":" + random.nextInt(1024, 65536));
        }
        List<Server> list = new ArrayList<>(count);
        for (String name : names) {
            list.add(new Server(name, 0, list.size() % ZONES, list.size(), ServerStatus.UP));
        }
        return List.copyOf(list);
    }

    /** Returns the server with another status and another start time of its process. */
    static Server withStatus(Server server, ServerStatus status, long startedAtUs) {
        return new Server(server.id(), startedAtUs, server.zone(), server.cell(), status);
    }

    /** Returns a shuffled copy of the list; the same seed gives the same order. */
    static List<Server> shuffled(List<Server> list, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Server> result = new ArrayList<>(list);
        for (int i = result.size() - 1; i > 0; i--) {
            int swapIndex = random.nextInt(i + 1);
            Server swapped = result.set(swapIndex, result.get(i));
            result.set(i, swapped);
        }
        return result;
    }
}
