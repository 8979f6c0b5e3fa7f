package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer;
import passhatch.Balancer.ListKind;
import passhatch.LeastLoadedBalancer;

/**
 * Measures the heap that a decision module retains for each server, names included: the difference in live
 * heap before and after modules are created and have received their first list.
 */
final class RetainedHeap {

    /** Servers in the lists of all modules together; with fewer, other changes of the heap would matter. */
    private static final int TOTAL_SERVERS = 20_000;

    private RetainedHeap() { }

    /** Returns the bytes that a module retains for each of its servers. */
    static double bytesPerServer(int servers, int replicas, long seed) {
        int instances = Math.max(1, TOTAL_SERVERS / servers);
        List<Balancer> modules = new ArrayList<>(instances);
        long bytesBefore = liveBytes();
        for (int i = 0; i < instances; i++) {
            Balancer module = new LeastLoadedBalancer(SampleDeployment.settings(replicas, 0), i,
                    new NoOpActions());
            module.serversChanged(1_000_000, ListKind.CACHED, SampleDeployment.servers(servers, seed + i));
            modules.add(module);
        }
        return (liveBytes() - bytesBefore) / ((double) servers * modules.size());
    }

    private static long liveBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
