package passhatch.lab.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** How changes come into force at all proxies: when each module has taken in each of them. */
final class Propagation {

    private final Map<String, ServerStatus> expected;
    /** By proxy, what it has still to hear; each is touched by its proxy's event loop alone. */
    private final List<Set<String>> pendingByProxy = new ArrayList<>();
    private final CountDownLatch unfinishedLatch;
    private final long startNs = System.nanoTime();
    private final AtomicLong lastCompletedNs = new AtomicLong(startNs);

    /**
     * Counts from now on.
     *
     * @param expected what each proxy's module is to be told, by server
     */
    Propagation(Map<String, ServerStatus> expected, int proxies) {
        this.expected = Map.copyOf(expected);
        this.unfinishedLatch = new CountDownLatch(proxies);
        for (int i = 0; i < proxies; i++) {
            pendingByProxy.add(new HashSet<>(expected.keySet()));
        }
    }

    /** A proxy's module has taken in a list, or changes. */
    void listApplied(int proxy, List<Server> servers) {
        Set<String> pending = pendingByProxy.get(proxy);
        if (pending.isEmpty()) {
            return;
        }
        for (Server server : servers) {
            if (server.status() == expected.get(server.id())) {
                pending.remove(server.id());
            }
        }
        if (pending.isEmpty()) {
            lastCompletedNs.accumulateAndGet(System.nanoTime(), Math::max);
            unfinishedLatch.countDown();
        }
    }

    /** Waits until all is in force everywhere; false where that took too long. */
    boolean await(Duration timeout) throws InterruptedException {
        return unfinishedLatch.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Proxies at which something is not in force. */
    long unfinishedProxies() {
        return unfinishedLatch.getCount();
    }

    /** From the beginning until all was in force at the last proxy that has it. */
    Duration timeUntilLast() {
        return Duration.ofNanos(lastCompletedNs.get() - startNs);
    }
}
