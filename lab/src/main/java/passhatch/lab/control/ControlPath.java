package passhatch.lab.control;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.ref.WeakReference;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryServer;
import passhatch.lab.discovery.Endpoint;

/**
 * The control path in one process: a stand-in for discovery and simulated proxies that watch it over loopback
 * sockets.
 */
final class ControlPath implements Closeable {

    private static final long POLL_INTERVAL_MS = 20;
    /**
     * Limit of list lines sent to starting proxies at a time. Starting all proxies at once would block the
     * event loops for too long.
     */
    private static final int MAX_PENDING_LIST_LINES = 60_000;

    private final BackendList backends;
    private final DiscoveryCallRecorder callRecorder = new DiscoveryCallRecorder();
    private final DiscoveryServer discovery;
    private final ProxyFleet fleet;
    private final EventLoopCpuTime discoveryCpuTime;
    private final EventLoopCpuTime proxiesCpuTime;
    /** Index of the backend that changes next. */
    private int nextToChange;

    /**
     * The measurements of one phase.
     *
     * @param callStats calls and traffic at discovery
     * @param propagationTime time from the start until the last proxy that received all changes had applied
     *     them
     * @param unfinishedProxies proxies that had not applied all changes at the time-out; 0 on success
     * @param discoveryCpuNs CPU time of discovery in nanoseconds
     * @param proxiesCpuNs CPU time of all proxies together in nanoseconds
     */
    record PhaseResult(DiscoveryCallRecorder.Interval callStats, Duration propagationTime,
            long unfinishedProxies, long discoveryCpuNs, long proxiesCpuNs) { }

    /** The action measured in a phase; returns the propagation to wait for. */
    private interface PhaseAction {
        Propagation run() throws InterruptedException;
    }

    /**
     * Starts discovery without any proxies.
     *
     * @param backends number of backends in the list
     * @param costs simulated costs of calls to discovery
     * @param loops number of event loops of the proxies, each with one thread
     * @param discoveryPushes whether proxies treat discovery as a service that pushes changes
     * @param seed random seed of the first proxy; each further proxy uses the next one
     */
    ControlPath(int backends, CallCosts costs, int loops, boolean discoveryPushes, long seed) {
        this.backends = new BackendList(backends);
        this.discovery = new DiscoveryServer(this.backends.all(), costs, false, callRecorder);
        this.fleet = new ProxyFleet(loops, discovery.address(), this.backends, discoveryPushes, seed);
        this.discoveryCpuTime = new EventLoopCpuTime(List.of(discovery.loop()));
        this.proxiesCpuTime = fleet.cpuTime();
    }

    /** Starts proxies in batches until {@code watches} proxies have started or the time-out expires. */
    PhaseResult startProxies(int watches, Duration timeout) throws InterruptedException {
        long endNs = System.nanoTime() + timeout.toNanos();
        int batchSize = Math.max(1, MAX_PENDING_LIST_LINES / backends.size());
        return measurePhase(timeout, () -> {
            while (fleet.size() < watches && System.nanoTime() < endNs) {
                fleet.start(Math.min(batchSize, watches - fleet.size()));
                await(timeout, () -> discovery.openWatches() == fleet.size());
            }
            return new Propagation(BackendList.toServerStatuses(List.of()), 0);
        });
    }

    /** Measures a phase of the given duration without changes. */
    PhaseResult idle(Duration duration) throws InterruptedException {
        return measurePhase(duration, () -> {
            Thread.sleep(duration.toMillis());
            return new Propagation(BackendList.toServerStatuses(List.of()), 0);
        });
    }

    /**
     * Changes the status of {@code count} backends, each in its own list version, and waits until every proxy
     * has applied all changes or the time-out expires.
     */
    PhaseResult changeBackends(int count, Duration timeout) throws InterruptedException {
        return measurePhase(timeout, () -> {
            List<Endpoint> changed = toggleNextBackends(count);
            Propagation propagation = trackPropagation(changed);
            changed.forEach(e -> discovery.change(List.of(e)));
            return propagation;
        });
    }

    /**
     * Injects a fault that forces all watches to be reopened, makes one change that the old watches do not
     * deliver, and waits until every proxy has applied it or the time-out expires.
     *
     * @param outage how long discovery is down; used only by {@link WatchFault#OUTAGE}
     */
    PhaseResult recover(WatchFault fault, Duration outage, Duration timeout) throws InterruptedException {
        if (fault != WatchFault.OUTAGE) {
            return measurePhase(timeout, () -> {
                List<Endpoint> changed = toggleNextBackends(1);
                Propagation propagation = trackPropagation(changed);
                fault.begin(discovery, outage);
                discovery.change(changed);
                return propagation;
            });
        }
        fault.begin(discovery, outage);
        return measurePhase(timeout, () -> {
            List<Endpoint> changed = toggleNextBackends(1);
            Propagation propagation = trackPropagation(changed);
            discovery.change(changed);
            fault.end(discovery);
            return propagation;
        });
    }

    /** Returns the size in bytes of the response with the full list, including the HTTP head. */
    long fullListBytes() throws IOException {
        String request = "GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket(discovery.address().getAddress(), discovery.address().getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
    }

    private List<Endpoint> toggleNextBackends(int count) {
        List<Endpoint> changed = backends.toggleStatuses(nextToChange, count);
        nextToChange += count;
        return changed;
    }

    private Propagation trackPropagation(List<Endpoint> changed) {
        Propagation propagation = new Propagation(BackendList.toServerStatuses(changed), fleet.size());
        fleet.trackWith(propagation);
        return propagation;
    }

    private PhaseResult measurePhase(Duration timeout, PhaseAction action) throws InterruptedException {
        callRecorder.startNextInterval();
        long discoveryCpuStartNs = discoveryCpuTime.totalNs();
        long proxiesCpuStartNs = proxiesCpuTime.totalNs();
        Propagation propagation = action.run();
        propagation.await(timeout);
        await(timeout, () -> discovery.openWatches() == fleet.size());
        return new PhaseResult(callRecorder.startNextInterval(), propagation.timeUntilLast(),
                propagation.unfinishedProxies(),
                discoveryCpuTime.totalNs() - discoveryCpuStartNs,
                proxiesCpuTime.totalNs() - proxiesCpuStartNs);
    }

    private static void await(Duration timeout, BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + timeout.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < endNs) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
    }

    /** The stand-in for discovery. */
    DiscoveryServer discovery() {
        return discovery;
    }

    /**
     * Returns weak references that clear once this object's memory can be reclaimed: every proxy and every
     * connection refers to one of these objects.
     */
    List<WeakReference<?>> weakReferences() {
        return List.of(new WeakReference<>(fleet), new WeakReference<>(discovery));
    }

    DiscoveryCallRecorder callRecorder() {
        return callRecorder;
    }

    /** Number of open watches that receive changes. */
    int openWatches() {
        return discovery.openWatches();
    }

    @Override
    public void close() {
        fleet.close();
        discovery.close();
    }
}
