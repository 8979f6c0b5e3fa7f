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

/** A stand-in discovery and the simulated proxies that watch it, over loopback sockets. */
final class ControlPath implements Closeable {

    private static final long POLL_INTERVAL_MS = 20;
    /** Lines of first lists that are on their way at a time: all at once would keep loops too long. */
    private static final int MAX_PENDING_LIST_LINES = 60_000;

    private final BackendList backends;
    private final DiscoveryCallRecorder callRecorder = new DiscoveryCallRecorder();
    private final DiscoveryServer discovery;
    private final ProxyFleet fleet;
    private final EventLoopCpuTime discoveryCpuTime;
    private final EventLoopCpuTime proxiesCpuTime;
    private int nextToChange;

    /**
     * What happened in a spell.
     *
     * @param callStats at discovery
     * @param propagationTime from its beginning until all that changed was in force at the last proxy
     * @param unfinishedProxies proxies at which it was not when the spell was given up; 0 where all is well
     * @param discoveryCpuNs processor time of discovery
     * @param proxiesCpuNs processor time of all proxies together
     */
    record PhaseResult(DiscoveryCallRecorder.Interval callStats, Duration propagationTime,
            long unfinishedProxies, long discoveryCpuNs,
            long proxiesCpuNs) { }

    /** What is done in a spell; it returns what is then to come into force. */
    private interface PhaseAction {
        Propagation run() throws InterruptedException;
    }

    /**
     * Starts discovery with a list of so many backends, and no proxy yet.
     *
     * @param loops event loops, and so threads, of the proxies
     * @param discoveryPushes whether proxies take discovery for one that pushes
     * @param seed of the first proxy
     */
    ControlPath(int backends, CallCosts costs, int loops, boolean discoveryPushes, long seed) {
        this.backends = new BackendList(backends);
        this.discovery = new DiscoveryServer(this.backends.all(), costs, false, callRecorder);
        this.fleet = new ProxyFleet(loops, discovery.address(), this.backends, discoveryPushes, seed);
        this.discoveryCpuTime = new EventLoopCpuTime(List.of(discovery.loop()));
        this.proxiesCpuTime = fleet.cpuTime();
    }

    /** Starts proxies, some at a time, until so many watch; gives up after a time. */
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

    /** Changes nothing for a time. */
    PhaseResult idle(Duration duration) throws InterruptedException {
        return measurePhase(duration, () -> {
            Thread.sleep(duration.toMillis());
            return new Propagation(BackendList.toServerStatuses(List.of()), 0);
        });
    }

    /** Changes so many backends, each in a version of its own, and waits until all is in force everywhere. */
    PhaseResult changeBackends(int count, Duration timeout) throws InterruptedException {
        return measurePhase(timeout, () -> {
            List<Endpoint> changed = toggleNextBackends(count);
            Propagation propagation = trackPropagation(changed);
            changed.forEach(e -> discovery.change(List.of(e)));
            return propagation;
        });
    }

    /** Has all watches opened anew, with one change that none heard of, and waits until it is in force. */
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

    /** Bytes of the answer that brings the whole list, HTTP's own included. */
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

    DiscoveryServer discovery() {
        return discovery;
    }

    /** For telling when nothing is held any more: all proxies, and all ends of connections, refer here. */
    List<WeakReference<?>> weakReferences() {
        return List.of(new WeakReference<>(fleet), new WeakReference<>(discovery));
    }

    DiscoveryCallRecorder callRecorder() {
        return callRecorder;
    }

    /** Watches that are open, and told of changes. */
    int openWatches() {
        return discovery.openWatches();
    }

    @Override
    public void close() {
        fleet.close();
        discovery.close();
    }
}
