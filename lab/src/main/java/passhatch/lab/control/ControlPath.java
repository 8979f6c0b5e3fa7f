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

    private static final long POLL_MS = 20;
    /** Lines of first lists that are on their way at a time: all at once would keep loops too long. */
    private static final int LINES_AT_ONCE = 60_000;

    private final BackendList backends;
    private final CallLog calls = new CallLog();
    private final DiscoveryServer discovery;
    private final ProxyFleet fleet;
    private final ProcessorTime discoveryTime;
    private final ProcessorTime proxiesTime;
    private int turned;

    /**
     * What happened in a spell.
     *
     * @param calls at discovery
     * @param untilLast from its beginning until all that changed was in force at the last proxy
     * @param unfinished proxies at which it was not when the spell was given up; 0 where all is well
     * @param discoveryNs processor time of discovery
     * @param proxiesNs processor time of all proxies together
     */
    record Spell(CallLog.Interval calls, Duration untilLast, long unfinished, long discoveryNs,
            long proxiesNs) { }

    /** What is done in a spell; it returns what is then to come into force. */
    private interface Deed {
        Propagation run() throws InterruptedException;
    }

    /**
     * Starts discovery with a list of so many backends, and no proxy yet.
     *
     * @param loops event loops, and so threads, of the proxies
     * @param pushed whether proxies take discovery for one that pushes
     * @param seed of the first proxy
     */
    ControlPath(int backends, CallCosts costs, int loops, boolean pushed, long seed) {
        this.backends = new BackendList(backends);
        this.discovery = new DiscoveryServer(this.backends.all(), costs, false, calls);
        this.fleet = new ProxyFleet(loops, discovery.address(), this.backends, pushed, seed);
        this.discoveryTime = new ProcessorTime(List.of(discovery.loop()));
        this.proxiesTime = fleet.processorTime();
    }

    /** Starts proxies, some at a time, until so many watch; gives up after a time. */
    Spell open(int watches, Duration most) throws InterruptedException {
        long end = System.nanoTime() + most.toNanos();
        int atOnce = Math.max(1, LINES_AT_ONCE / backends.size());
        return spell(most, () -> {
            while (fleet.size() < watches && System.nanoTime() < end) {
                fleet.start(Math.min(atOnce, watches - fleet.size()));
                await(most, () -> discovery.watches() == fleet.size());
            }
            return new Propagation(BackendList.told(List.of()), 0);
        });
    }

    /** Changes nothing for a time. */
    Spell idle(Duration time) throws InterruptedException {
        return spell(time, () -> {
            Thread.sleep(time.toMillis());
            return new Propagation(BackendList.told(List.of()), 0);
        });
    }

    /** Changes so many backends, each in a version of its own, and waits until all is in force everywhere. */
    Spell change(int count, Duration most) throws InterruptedException {
        return spell(most, () -> {
            List<Endpoint> changed = turn(count);
            Propagation propagation = expect(changed);
            changed.forEach(e -> discovery.change(List.of(e)));
            return propagation;
        });
    }

    /** Has all watches opened anew, with one change that none heard of, and waits until it is in force. */
    Spell recover(Fault fault, Duration outage, Duration most) throws InterruptedException {
        if (fault != Fault.OUTAGE) {
            return spell(most, () -> {
                List<Endpoint> changed = turn(1);
                Propagation propagation = expect(changed);
                fault.begin(discovery, outage);
                discovery.change(changed);
                return propagation;
            });
        }
        fault.begin(discovery, outage);
        return spell(most, () -> {
            List<Endpoint> changed = turn(1);
            Propagation propagation = expect(changed);
            discovery.change(changed);
            fault.end(discovery);
            return propagation;
        });
    }

    /** Bytes of the answer that brings the whole list, HTTP's own included. */
    long wholeListBytes() throws IOException {
        String get = "GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket(discovery.address().getAddress(), discovery.address().getPort())) {
            socket.getOutputStream().write(get.getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        }
    }

    private List<Endpoint> turn(int count) {
        List<Endpoint> changed = backends.turn(turned, count);
        turned += count;
        return changed;
    }

    private Propagation expect(List<Endpoint> changed) {
        Propagation propagation = new Propagation(BackendList.told(changed), fleet.size());
        fleet.countAt(propagation);
        return propagation;
    }

    private Spell spell(Duration most, Deed deed) throws InterruptedException {
        calls.next();
        long discoveryNs = discoveryTime.ns();
        long proxiesNs = proxiesTime.ns();
        Propagation propagation = deed.run();
        propagation.await(most);
        await(most, () -> discovery.watches() == fleet.size());
        return new Spell(calls.next(), propagation.untilLast(), propagation.unfinished(),
                discoveryTime.ns() - discoveryNs, proxiesTime.ns() - proxiesNs);
    }

    private static void await(Duration most, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + most.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    DiscoveryServer discovery() {
        return discovery;
    }

    /** For telling when nothing is held any more: all proxies, and all ends of connections, refer here. */
    List<WeakReference<?>> traces() {
        return List.of(new WeakReference<>(fleet), new WeakReference<>(discovery));
    }

    CallLog calls() {
        return calls;
    }

    /** Watches that are open, and told of changes. */
    int watches() {
        return discovery.watches();
    }

    @Override
    public void close() {
        fleet.close();
        discovery.close();
    }
}
