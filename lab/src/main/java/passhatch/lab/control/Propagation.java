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

/** Tracks when the decision modules of all proxies have applied a set of changes. */
final class Propagation {

    private final Map<String, ServerStatus> expected;
    /**
     * Servers whose new status a proxy has not applied yet, by proxy; each set is used only by its proxy's
     * event loop.
     */
    private final List<Set<String>> pendingByProxy = new ArrayList<>();
    private final CountDownLatch unfinishedLatch;
    private final long startNs = System.nanoTime();
    private final AtomicLong lastCompletedNs = new AtomicLong(startNs);

    /**
     * Starts tracking; times count from now.
     *
     * @param expected the new status of each changed server, by server id
     * @param proxies number of proxies that must apply the changes
     */
    Propagation(Map<String, ServerStatus> expected, int proxies) {
        this.expected = Map.copyOf(expected);
        this.unfinishedLatch = new CountDownLatch(proxies);
        for (int i = 0; i < proxies; i++) {
            pendingByProxy.add(new HashSet<>(expected.keySet()));
        }
    }

    /** Records that the decision module of a proxy has applied a list or changes. */
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

    /** Waits until all proxies have applied all changes; returns false if the time-out expires first. */
    boolean await(Duration timeout) throws InterruptedException {
        return unfinishedLatch.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Number of proxies that have not applied all changes. */
    long unfinishedProxies() {
        return unfinishedLatch.getCount();
    }

    /**
     * Time from the start until the last proxy that has applied all changes had done so; zero if none has.
     */
    Duration timeUntilLast() {
        return Duration.ofNanos(lastCompletedNs.get() - startNs);
    }
}
