package passhatch.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryListener;
import passhatch.lab.discovery.DiscoveryServer;
import passhatch.lab.discovery.Endpoint;
import passhatch.lab.discovery.Endpoint.Status;
import passhatch.lab.soak.FaultPlan.Fault;
import passhatch.lab.soak.Ledger.Removal;
import passhatch.lab.soak.Oracle.Rule;
import passhatch.lab.soak.Oracle.Violation;

/** One run: starts all parts, plays a plan of faults under load, and holds the outcome against the rules. */
public final class SoakRun implements Closeable {

    private static final int CLIENTS_OF_A_PROXY = 3;
    private static final int MEAN_GAP_MS = 40;
    private static final Duration READY = Duration.ofSeconds(30);
    private static final Duration READY_AGAIN = Duration.ofSeconds(10);
    /** A call to discovery may be open when an outage begins, and is given up after this. */
    private static final int WORKERS = 24;
    private static final long HOUR_S = 3_600;
    private static final int SHIM_PERMILLE = 300;
    private static final int ALL_PERMILLE = 1_000;
    /** SIGKILL follows SIGTERM no sooner than the longest deadline and this. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(700);
    /** What in a log tells of a fault in the program itself, with the first lines of its trace. */
    private static final Pattern FAULT_IN_PROGRAM = Pattern.compile(
            "(?m)^.* (BUG|VIOLATION) .*$(\\R.*){0,8}");
    /** Part of the backends that may be away at a time. */
    private static final double MOST_AWAY = 0.4;

    /**
     * The size of a run.
     *
     * @param proxies real processes
     * @param asked whether discovery has to be asked for changes
     * @param costs of calls to discovery
     */
    public record Size(int proxies, int backends, Duration length, double faultsPerSecond, boolean asked,
            CallCosts costs) { }

    /** What came of a run. */
    public record Report(long seed, int requests, int answered, int served, int faults,
            List<Violation> violations) {

        @Override
        public String toString() {
            return "seed " + seed + ": " + requests + " requests, " + answered + " answered, " + served
                    + " served, " + faults + " faults, " + violations.size() + " violations";
        }
    }

    private final long seed;
    private final Size size;
    private final Ledger ledger = new Ledger();
    private final FaultyBackends backends;
    private final List<DiscoveryServer> discoveries = new ArrayList<>();
    private final List<ProxyInstance> proxies = new ArrayList<>();
    private final List<LoadClient> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final Map<Integer, List<Long>> kills = new ConcurrentHashMap<>();
    private final List<Violation> violations = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(WORKERS);
    /** Guarded by this. */
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<Integer> busyBackends = new HashSet<>();
    private final Set<Integer> busyProxies = new HashSet<>();
    private boolean discoveryBusy;
    private int discoveryInUse;

    /**
     * Starts the stand-ins and describes the proxies.
     *
     * @param root the project's folder, with the service built
     * @param folder for configurations and logs
     */
    public SoakRun(Path root, Path folder, long seed, Size size) throws IOException, InterruptedException {
        this.seed = seed;
        this.size = size;
        this.backends = new FaultyBackends(size.backends(), seed, ledger);
        Path base = Files.createDirectories(folder).toAbsolutePath();
        Path shim = FaultShim.compile(root, base);
        for (int i = 0; i < size.backends(); i++) {
            InetSocketAddress at = backends.address(i);
            endpoints.put(backends.name(i), Endpoint.serving(backends.name(i),
                    FaultyBackends.HOST + ":" + at.getPort(), ProxyInstance.ZONE, ProxyInstance.MODEL, 0));
        }
        for (int i = 0; i < 2; i++) {
            discoveries.add(new DiscoveryServer(endpoints.values(), size.costs(), false,
                    DiscoveryListener.NONE));
        }
        for (int i = 0; i < size.proxies(); i++) {
            proxies.add(new ProxyInstance(root.toAbsolutePath(), base, i, size.proxies(), size.asked(),
                    discoveries.get(0).address(), new FaultShim(shim, base.resolve("n" + i + ".faults"))));
            proxies.get(i).knows(known());
        }
    }

    /** Starts all proxies and waits until each is ready. */
    public void start() throws IOException, InterruptedException {
        for (ProxyInstance proxy : proxies) {
            proxy.start();
        }
        for (ProxyInstance proxy : proxies) {
            if (!proxy.awaitReady(READY)) {
                violations.add(new Violation(Rule.NOT_READY, "n" + proxy.number() + " at the start"));
            }
        }
    }

    /** Plays the seed's plan under load; what came of it. */
    public Report play() throws IOException, InterruptedException {
        FaultPlan plan = FaultPlan.draw(seed, (int) size.length().toMillis(), size.faultsPerSecond());
        load();
        plan.faults().forEach(fault -> workers.schedule(() -> strike(fault), fault.atMs(),
                TimeUnit.MILLISECONDS));
        TimeUnit.MILLISECONDS.sleep(size.length().toMillis());
        return finish(plan.faults().size());
    }

    /** Begins to send requests to all proxies. */
    public void load() {
        for (ProxyInstance proxy : proxies) {
            for (int i = 0; i < CLIENTS_OF_A_PROXY; i++) {
                LoadClient client = new LoadClient(proxy, i, seed * 31 + proxy.number() * 7L + i, MEAN_GAP_MS,
                        ledger);
                clients.add(client);
                Thread thread = new Thread(client, "client-" + proxy.number() + "-" + i);
                thread.setDaemon(true);
                clientThreads.add(thread);
                thread.start();
            }
        }
    }

    /** Ends the load and checks all that was seen. */
    public Report finish(int faults) throws IOException, InterruptedException {
        clients.forEach(LoadClient::end);
        for (Thread thread : clientThreads) {
            thread.join(READY.toMillis());
        }
        workers.shutdown();
        workers.awaitTermination(READY.toSeconds(), TimeUnit.SECONDS);
        List<Violation> all = new ArrayList<>(violations);
        all.addAll(new Oracle(ledger, kills).check());
        for (ProxyInstance proxy : proxies) {
            if (!proxy.isAlive()) {
                all.add(new Violation(Rule.CRASH, "n" + proxy.number() + " does not run at the end"));
            }
            FAULT_IN_PROGRAM.matcher(proxy.logs()).results().forEach(line ->
                    all.add(new Violation(Rule.SELF_CHECK, "n" + proxy.number() + ": " + line.group())));
        }
        int answered = (int) ledger.requests().stream().filter(r -> r.end() == Ledger.End.ANSWERED).count();
        int served = (int) ledger.requests().stream().filter(r -> r.status() == 200).count();
        return new Report(seed, ledger.requests().size(), answered, served, faults, all);
    }

    // ---- what tests and faults do

    /** Removes a backend from the list, or has it drain; it still answers. */
    public void remove(int backend, Status how) {
        list(backend, how, 0);
    }

    /** All calls to socket of every proxy fail for the length, and all watches are reset meanwhile. */
    void socketsFail(Duration length) throws InterruptedException {
        proxies.forEach(proxy -> proxy.shim().failSocket(ALL_PERMILLE, FaultShim.Errno.ENFILE));
        discovery().resetWatches();
        TimeUnit.MILLISECONDS.sleep(length.toMillis());
        proxies.forEach(proxy -> proxy.shim().failSocket(0, FaultShim.Errno.ENFILE));
    }

    /** All that the proxies said, to be shown where a run fails. */
    String logs() {
        StringBuilder all = new StringBuilder();
        for (ProxyInstance proxy : proxies) {
            try {
                all.append("-- n").append(proxy.number()).append('\n').append(proxy.logs());
            } catch (IOException e) {
                all.append(e);
            }
        }
        return all.toString();
    }

    ProxyInstance proxy(int number) {
        return proxies.get(number);
    }

    DiscoveryServer discovery() {
        return discoveries.get(discoveryInUse);
    }

    /** Has calls to discovery fare so for the length, which counts as an outage. */
    public void discoveryFails(DiscoveryServer.Mode mode, Duration length) throws InterruptedException {
        long fromNs = System.nanoTime();
        if (mode == DiscoveryServer.Mode.FAILING) {
            discovery().resetWatches();
        }
        discovery().mode(mode);
        TimeUnit.MILLISECONDS.sleep(length.toMillis());
        discovery().mode(DiscoveryServer.Mode.SERVING);
        ledger.outage(fromNs, System.nanoTime());
    }

    private synchronized long list(int backend, Status status, long sinceMs) {
        Endpoint before = endpoints.get(backends.name(backend));
        Endpoint now = new Endpoint(before.name(), before.address(), before.zone(), before.type(),
                before.group(), status, before.weight(), sinceMs == 0 ? before.sinceMs() : sinceMs);
        endpoints.put(now.name(), now);
        discoveries.forEach(server -> server.change(List.of(now)));
        long atNs = System.nanoTime();
        if (status != Status.SERVING) {
            ledger.add(new Removal(now.name(), atNs, Long.MAX_VALUE));
        } else {
            ledger.relisted(now.name(), atNs);
        }
        return atNs;
    }

    private synchronized List<Map<String, Object>> known() {
        return endpoints.values().stream().filter(e -> e.status() != Status.DELETED).map(Endpoint::json)
                .toList();
    }

    /** Takes a backend for a fault; false where it has one, or too many are away. */
    private synchronized boolean takeBackend(int backend) {
        return busyBackends.size() < MOST_AWAY * size.backends() && busyBackends.add(backend);
    }

    private synchronized void freeBackend(int backend) {
        busyBackends.remove(backend);
    }

    private synchronized boolean takeProxy(int proxy) {
        return busyProxies.size() < size.proxies() / 2 && busyProxies.add(proxy);
    }

    private synchronized void freeProxy(int proxy) {
        busyProxies.remove(proxy);
    }

    private synchronized boolean takeDiscovery() {
        boolean free = !discoveryBusy;
        discoveryBusy = true;
        return free;
    }

    private synchronized void freeDiscovery() {
        discoveryBusy = false;
    }

    private void strike(Fault fault) {
        try {
            switch (fault.kind()) {
                case DISCOVERY_DOWN, DISCOVERY_FAILING, DISCOVERY_SILENT, DISCOVERY_MOVED ->
                        strikeDiscovery(fault);
                case WATCHES_SILENT -> discovery().silence(Integer.MAX_VALUE);
                case WATCHES_RESET -> discovery().resetWatches();
                case WATCHES_END -> discovery().endWatches();
                case BACKEND_CRASHED, BACKEND_REMOVED, BACKEND_DRAINED, BACKEND_HANGS, BACKEND_ERRS,
                        BACKEND_RESETS, BACKEND_FULL -> strikeBackend(fault);
                case PROXY_KILLED, PROXY_TERMINATED, PROXY_PAUSED, CLOCK_STEPPED, ACCEPT_FAILS,
                        CONNECT_FAILS, SOCKET_FAILS -> strikeProxy(fault);
                default -> throw new IllegalStateException(fault.toString());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void strikeDiscovery(Fault fault) throws IOException, InterruptedException {
        if (!takeDiscovery()) {
            return;
        }
        try {
            switch (fault.kind()) {
                case DISCOVERY_DOWN -> {
                    long fromNs = System.nanoTime();
                    discovery().goDown();
                    TimeUnit.MILLISECONDS.sleep(fault.lengthMs());
                    discovery().comeBack(fault.choice() % 2 == 0);
                    ledger.outage(fromNs, System.nanoTime());
                }
                case DISCOVERY_FAILING -> discoveryFails(DiscoveryServer.Mode.FAILING,
                        Duration.ofMillis(fault.lengthMs()));
                case DISCOVERY_SILENT -> discoveryFails(DiscoveryServer.Mode.SILENT,
                        Duration.ofMillis(fault.lengthMs()));
                default -> {
                    long fromNs = System.nanoTime();
                    discoveryInUse = 1 - discoveryInUse;
                    for (ProxyInstance proxy : proxies) {
                        proxy.moveTo(discovery().address());
                    }
                    ledger.outage(fromNs, System.nanoTime());
                }
            }
        } finally {
            freeDiscovery();
        }
    }

    private void strikeBackend(Fault fault) throws InterruptedException {
        int backend = fault.choice() % size.backends();
        if (!takeBackend(backend)) {
            return;
        }
        try {
            switch (fault.kind()) {
                case BACKEND_CRASHED -> {
                    backends.crash(backend);
                    list(backend, Status.DELETED, 0);
                    TimeUnit.MILLISECONDS.sleep(fault.lengthMs());
                    backends.restart(backend);
                    list(backend, Status.SERVING, System.currentTimeMillis());
                }
                case BACKEND_REMOVED, BACKEND_DRAINED -> {
                    list(backend, fault.kind() == FaultPlan.Kind.BACKEND_REMOVED ? Status.DELETED
                            : Status.DRAINING, 0);
                    TimeUnit.MILLISECONDS.sleep(fault.lengthMs());
                    list(backend, Status.SERVING, System.currentTimeMillis());
                }
                default -> {
                    backends.mode(backend, switch (fault.kind()) {
                        case BACKEND_HANGS -> FaultyBackends.Mode.HANGING;
                        case BACKEND_ERRS -> FaultyBackends.Mode.ERRING;
                        case BACKEND_RESETS -> FaultyBackends.Mode.RESETTING;
                        default -> FaultyBackends.Mode.FULL;
                    });
                    TimeUnit.MILLISECONDS.sleep(fault.lengthMs());
                    backends.mode(backend, FaultyBackends.Mode.SERVING);
                }
            }
        } finally {
            freeBackend(backend);
        }
    }

    private void strikeProxy(Fault fault) throws IOException, InterruptedException {
        ProxyInstance proxy = proxies.get(fault.choice() % proxies.size());
        if (!takeProxy(proxy.number())) {
            return;
        }
        try {
            switch (fault.kind()) {
                case PROXY_KILLED -> restart(proxy, fault.lengthMs());
                case PROXY_TERMINATED -> {
                    proxy.sendNoNewClients();
                    TimeUnit.MILLISECONDS.sleep(MEAN_GAP_MS);
                    proxy.signal("TERM");
                    TimeUnit.MILLISECONDS.sleep(RequestKind.LONGEST_DEADLINE.plus(KILL_MARGIN).toMillis());
                    restart(proxy, fault.lengthMs());
                }
                case PROXY_PAUSED -> {
                    proxy.signal("STOP");
                    TimeUnit.MILLISECONDS.sleep(fault.lengthMs());
                    proxy.signal("CONT");
                }
                default -> strikeCalls(proxy, fault);
            }
        } finally {
            freeProxy(proxy.number());
        }
    }

    private void strikeCalls(ProxyInstance proxy, Fault fault) throws InterruptedException {
        FaultShim.Errno[] errors = FaultShim.Errno.values();
        FaultShim.Errno error = errors[fault.choice() / size.proxies() % errors.length];
        switch (fault.kind()) {
            case CLOCK_STEPPED -> proxy.shim().stepClock(Duration.ofSeconds(
                    switch (fault.choice() % 4) {
                        case 0 -> HOUR_S;
                        case 1 -> -HOUR_S;
                        case 2 -> 5;
                        default -> -5;
                    }));
            case ACCEPT_FAILS -> proxy.shim().failAccept(SHIM_PERMILLE, error);
            case CONNECT_FAILS -> proxy.shim().failConnect(SHIM_PERMILLE, error);
            default -> proxy.shim().failSocket(SHIM_PERMILLE, error);
        }
        TimeUnit.MILLISECONDS.sleep(fault.lengthMs());
        proxy.shim().failAccept(0, error);
        proxy.shim().failConnect(0, error);
        proxy.shim().failSocket(0, error);
    }

    private void restart(ProxyInstance proxy, int pauseMs) throws IOException, InterruptedException {
        boolean ran = proxy.isAlive();
        proxy.kill();
        kills.computeIfAbsent(proxy.number(), n -> new CopyOnWriteArrayList<>()).add(proxy.killedNs());
        TimeUnit.MILLISECONDS.sleep(pauseMs);
        proxy.knows(known());
        proxy.start();
        if (!proxy.awaitReady(READY_AGAIN) && ran) {
            violations.add(new Violation(Rule.NOT_READY, "n" + proxy.number() + " after a restart"));
        }
    }

    @Override
    public void close() {
        workers.shutdownNow();
        proxies.forEach(ProxyInstance::close);
        discoveries.forEach(DiscoveryServer::close);
        backends.close();
    }
}
