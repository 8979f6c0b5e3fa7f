package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer;
import passhatch.Balancer.ListKind;
import passhatch.LeastLoadedBalancer;

/**
 * Bytes that an instance keeps for each server, names included: the difference in live heap with and without
 * instances that have taken their first list.
 */
final class RetainedHeap {

    /** So many servers over all instances that what else happens in the heap doesn't count. */
    private static final int SERVERS = 20_000;

    private RetainedHeap() { }

    static double bytesPerServer(int servers, int copies, long seed) {
        int instances = Math.max(1, SERVERS / servers);
        List<Balancer> kept = new ArrayList<>(instances);
        long before = live();
        for (int i = 0; i < instances; i++) {
            Balancer module = new LeastLoadedBalancer(Sites.settings(copies, 0), i, new NoActions());
            module.serversChanged(1_000_000, ListKind.CACHED, Sites.servers(servers, seed + i));
            kept.add(module);
        }
        return (live() - before) / ((double) servers * kept.size());
    }

    private static long live() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
