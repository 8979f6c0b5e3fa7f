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
    private final List<Set<String>> missing = new ArrayList<>();
    private final CountDownLatch unfinished;
    private final long startNs = System.nanoTime();
    private final AtomicLong lastNs = new AtomicLong(startNs);

    /**
     * Counts from now on.
     *
     * @param expected what each proxy's module is to be told, by server
     */
    Propagation(Map<String, ServerStatus> expected, int proxies) {
        this.expected = Map.copyOf(expected);
        this.unfinished = new CountDownLatch(proxies);
        for (int i = 0; i < proxies; i++) {
            missing.add(new HashSet<>(expected.keySet()));
        }
    }

    /** A proxy's module has taken in a list, or changes. */
    void inForce(int proxy, List<Server> servers) {
        Set<String> left = missing.get(proxy);
        if (left.isEmpty()) {
            return;
        }
        for (Server server : servers) {
            if (server.status() == expected.get(server.id())) {
                left.remove(server.id());
            }
        }
        if (left.isEmpty()) {
            lastNs.accumulateAndGet(System.nanoTime(), Math::max);
            unfinished.countDown();
        }
    }

    /** Waits until all is in force everywhere; false where that took too long. */
    boolean await(Duration most) throws InterruptedException {
        return unfinished.await(most.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Proxies at which something is not in force. */
    long unfinished() {
        return unfinished.getCount();
    }

    /** From the beginning until all was in force at the last proxy that has it. */
    Duration untilLast() {
        return Duration.ofNanos(lastNs.get() - startNs);
    }
}
