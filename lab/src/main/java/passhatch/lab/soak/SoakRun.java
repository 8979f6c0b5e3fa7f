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
import passhatch.lab.soak.Oracle.Rule;
import passhatch.lab.soak.Oracle.Violation;
import passhatch.lab.soak.RunObservations.Removal;

/** One run of the soak: starts all processes, injects a plan of faults under load, and checks the rules. */
public final class SoakRun implements Closeable {

    private static final int CLIENTS_PER_PROXY = 3;
    /** Mean pause between the requests of a client. */
    private static final int MEAN_GAP_MS = 40;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RESTART_TIMEOUT = Duration.ofSeconds(10);
    /** Threads that inject faults; each fault occupies one until it ends. */
    private static final int FAULT_THREADS = 24;
    private static final long LARGE_CLOCK_STEP_S = 3_600;
    /** System calls of 1,000 that fail during a fault. */
    private static final int FAULT_PERMILLE = 300;
    /** Permille value for making all system calls fail. */
    private static final int ALL_PERMILLE = 1_000;
    /** Signals of a series, which leave a proxy running. */
    private static final List<String> SIGNAL_SERIES = List.of("HUP", "HUP", "STOP", "HUP", "CONT", "HUP");
    /** New connections come for 0.2 to 0.4 s after SIGTERM. */
    private static final int NEW_CONNECTIONS_AFTER_TERM_MS = 300;
    /** SIGKILL follows SIGTERM after the longest deadline plus this margin. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(700);
    /**
     * Matches a log line in which a proxy reports a bug or violation of its own, and up to 8 lines of stack
     * trace.
     */
    private static final Pattern SELF_REPORTED_FAULT = Pattern.compile(
            "(?m)^.* (BUG|VIOLATION) .*$(\\R.*){0,8}");
    /** Part of the backends that may have a fault at the same time. */
    private static final double MAX_UNAVAILABLE_RATIO = 0.4;

    /**
     * The size of a run.
     *
     * @param proxies number of proxy processes
     * @param backends number of backends
     * @param duration how long faults are injected
     * @param faultsPerSecond average rate of faults
     * @param discoveryOnRequest whether discovery must be asked for changes instead of pushing them
     * @param costs simulated costs of calls to discovery
     * @param crowdPerProxy connections that clients without a sound request try to hold at each proxy
     */
    public record Size(int proxies, int backends, Duration duration, double faultsPerSecond,
            boolean discoveryOnRequest, CallCosts costs, int crowdPerProxy) {

        /** The size of a run without a crowd. */
        public Size(int proxies, int backends, Duration duration, double faultsPerSecond,
                boolean discoveryOnRequest, CallCosts costs) {
            this(proxies, backends, duration, faultsPerSecond, discoveryOnRequest, costs, 0);
        }
    }

    /** The result of a run: numbers of requests and faults, and all violations of the rules. */
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
    private final RunObservations observations = new RunObservations();
    private final FaultyBackends backends;
    private final List<DiscoveryServer> discoveries = new ArrayList<>();
    private final List<ProxyInstance> proxies = new ArrayList<>();
    private final List<LoadClient> clients = new ArrayList<>();
    private final List<Crowd> crowds = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final Map<Integer, List<Long>> killTimesNs = new ConcurrentHashMap<>();
    private final List<Violation> violations = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService faultExecutor = Executors.newScheduledThreadPool(FAULT_THREADS);
    // The following fields up to discoveryBusy are guarded by this.
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<Integer> busyBackends = new HashSet<>();
    private final Set<Integer> busyProxies = new HashSet<>();
    private boolean discoveryBusy;
    /** Index of the discovery server that the proxies are configured with. */
    private int discoveryInUse;

    /**
     * Starts the backends and discovery and prepares the proxies without starting them.
     *
     * @param root root directory of the project, with the service built
     * @param workingDirectory directory for configurations and logs; created if it does not exist
     * @param seed decides the faults, the requests and the service times
     * @throws IOException if files cannot be written or the fault library cannot be compiled
     */
    public SoakRun(Path root, Path workingDirectory, long seed, Size size) throws IOException,
            InterruptedException {
        this.seed = seed;
        this.size = size;
        this.backends = new FaultyBackends(size.backends(), seed, observations);
        Path directory = Files.createDirectories(workingDirectory).toAbsolutePath();
        Path shim = FaultShim.compile(root, directory);
        for (int i = 0; i < size.backends(); i++) {
            InetSocketAddress address = backends.address(i);
            endpoints.put(backends.name(i), Endpoint.serving(backends.name(i),
                    FaultyBackends.HOST + ":" + address.getPort(), ProxyInstance.ZONE,
                    ProxyInstance.MACHINE_TYPE, 0));
        }
        for (int i = 0; i < 2; i++) {
            discoveries.add(new DiscoveryServer(endpoints.values(), size.costs(), false,
                    DiscoveryListener.NONE));
        }
        for (int i = 0; i < size.proxies(); i++) {
            proxies.add(new ProxyInstance(root.toAbsolutePath(), directory, i, size.proxies(),
                    size.discoveryOnRequest(),
                    discoveries.get(0).address(),
                    new FaultShim(shim, directory.resolve("n" + i + ".faults"))));
            proxies.get(i).setInitialEndpoints(listedEndpoints());
        }
    }

    /** Starts all proxies and waits until each is ready; one that is not ready within 30 s is a violation. */
    public void start() throws IOException, InterruptedException {
        for (ProxyInstance proxy : proxies) {
            proxy.start();
        }
        for (ProxyInstance proxy : proxies) {
            if (!proxy.awaitReady(START_TIMEOUT)) {
                violations.add(new Violation(Rule.NOT_READY, "n" + proxy.number() + " at the start"));
            }
        }
    }

    /** Injects the faults of the seed's plan under load and returns the result. */
    public Report execute() throws IOException, InterruptedException {
        FaultPlan plan = FaultPlan.generate(seed, (int) size.duration().toMillis(), size.faultsPerSecond());
        startLoad();
        startCrowds();
        plan.faults().forEach(fault -> faultExecutor.schedule(() -> inject(fault), fault.startMs(),
                TimeUnit.MILLISECONDS));
        TimeUnit.MILLISECONDS.sleep(size.duration().toMillis());
        return finish(plan.faults().size());
    }

    /** Starts clients that send requests to all proxies. */
    public void startLoad() {
        for (ProxyInstance proxy : proxies) {
            for (int i = 0; i < CLIENTS_PER_PROXY; i++) {
                LoadClient client = new LoadClient(proxy, i, seed * 31 + proxy.number() * 7L + i, MEAN_GAP_MS,
                        observations);
                clients.add(client);
                Thread thread = new Thread(client, "client-" + proxy.number() + "-" + i);
                thread.setDaemon(true);
                clientThreads.add(thread);
                thread.start();
            }
        }
    }

    private void startCrowds() {
        for (ProxyInstance proxy : size.crowdPerProxy() > 0 ? proxies : List.<ProxyInstance>of()) {
            Crowd crowd = new Crowd(proxy, size.crowdPerProxy(), seed * 37 + proxy.number());
            crowds.add(crowd);
            Thread thread = new Thread(crowd, "crowd-" + proxy.number());
            thread.setDaemon(true);
            thread.start();
        }
    }

    /**
     * Ends the load, checks all observations and returns the result.
     *
     * @param faultCount number of injected faults, for the report
     */
    public Report finish(int faultCount) throws IOException, InterruptedException {
        clients.forEach(LoadClient::stop);
        crowds.forEach(Crowd::close);
        for (Thread thread : clientThreads) {
            thread.join(START_TIMEOUT.toMillis());
        }
        faultExecutor.shutdown();
        faultExecutor.awaitTermination(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        List<Violation> all = new ArrayList<>(violations);
        all.addAll(new Oracle(observations, killTimesNs, size.crowdPerProxy() > 0).check());
        for (ProxyInstance proxy : proxies) {
            if (!proxy.isAlive()) {
                all.add(new Violation(Rule.CRASH, "n" + proxy.number() + " does not run at the end"));
            }
            SELF_REPORTED_FAULT.matcher(proxy.logs()).results().forEach(line ->
                    all.add(new Violation(Rule.SELF_CHECK, "n" + proxy.number() + ": " + line.group())));
        }
        int answered = (int) observations.requests().stream()
                .filter(r -> r.end() == RunObservations.RequestOutcome.ANSWERED).count();
        int served = (int) observations.requests().stream().filter(r -> r.status() == 200).count();
        return new Report(seed, observations.requests().size(), answered, served, faultCount, all);
    }

    // Faults, injected by the plan or directly by tests.

    /** Lists a backend as deleted or draining; it still responds to requests. */
    public void removeBackend(int backend, Status status) {
        setStatus(backend, status, 0);
    }

    /** Makes all socket calls of every proxy fail for a duration and resets all watches at its start. */
    void failSockets(Duration duration) throws InterruptedException {
        proxies.forEach(proxy -> proxy.shim().failSocket(ALL_PERMILLE, FaultShim.Errno.ENFILE));
        discovery().resetWatches();
        TimeUnit.MILLISECONDS.sleep(duration.toMillis());
        proxies.forEach(proxy -> proxy.shim().failSocket(0, FaultShim.Errno.ENFILE));
    }

    /** Returns the output of all proxies, for the message of a failed test. */
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

    /** Returns a proxy by its index. */
    ProxyInstance proxy(int number) {
        return proxies.get(number);
    }

    /** Returns the discovery server that the proxies are configured with. */
    DiscoveryServer discovery() {
        return discoveries.get(discoveryInUse);
    }

    /**
     * Sets the mode of discovery for a duration and records it as an outage; FAILING also resets all watches.
     */
    public void failDiscovery(DiscoveryServer.Mode mode, Duration duration) throws InterruptedException {
        long fromNs = System.nanoTime();
        if (mode == DiscoveryServer.Mode.FAILING) {
            discovery().resetWatches();
        }
        discovery().mode(mode);
        TimeUnit.MILLISECONDS.sleep(duration.toMillis());
        discovery().mode(DiscoveryServer.Mode.SERVING);
        observations.addOutage(fromNs, System.nanoTime());
    }

    private synchronized long setStatus(int backend, Status status, long startedMs) {
        Endpoint previous = endpoints.get(backends.name(backend));
        Endpoint changed = new Endpoint(previous.name(), previous.address(), previous.zone(),
                previous.machineType(),
                previous.cell(), status, previous.weight(),
                startedMs == 0 ? previous.startedMs() : startedMs);
        endpoints.put(changed.name(), changed);
        // A proxy may send to a server as soon as one of the discovery servers lists it again.
        long beforeNs = System.nanoTime();
        discoveries.forEach(server -> server.change(List.of(changed)));
        long atNs = System.nanoTime();
        if (status != Status.SERVING) {
            observations.add(new Removal(changed.name(), atNs, Long.MAX_VALUE));
        } else {
            observations.relisted(changed.name(), beforeNs);
        }
        return atNs;
    }

    private synchronized List<Map<String, Object>> listedEndpoints() {
        return endpoints.values().stream().filter(e -> e.status() != Status.DELETED).map(Endpoint::toJson)
                .toList();
    }

    /**
     * Reserves a backend for a fault; returns false if it has one already or too many backends have faults.
     */
    private synchronized boolean reserveBackend(int backend) {
        return busyBackends.size() < MAX_UNAVAILABLE_RATIO * size.backends() && busyBackends.add(backend);
    }

    private synchronized void releaseBackend(int backend) {
        busyBackends.remove(backend);
    }

    private synchronized boolean reserveProxy(int proxy) {
        return busyProxies.size() < size.proxies() / 2 && busyProxies.add(proxy);
    }

    private synchronized void releaseProxy(int proxy) {
        busyProxies.remove(proxy);
    }

    private synchronized boolean reserveDiscovery() {
        boolean free = !discoveryBusy;
        discoveryBusy = true;
        return free;
    }

    private synchronized void releaseDiscovery() {
        discoveryBusy = false;
    }

    private void inject(Fault fault) {
        try {
            switch (fault.kind()) {
                case DISCOVERY_DOWN, DISCOVERY_FAILING, DISCOVERY_SILENT, DISCOVERY_MOVED ->
                        injectDiscoveryFault(fault);
                case WATCHES_SILENT -> discovery().silenceWatches(Integer.MAX_VALUE);
                case WATCHES_RESET -> discovery().resetWatches();
                case WATCHES_END -> discovery().endWatches();
                case BACKEND_CRASHED, BACKEND_REMOVED, BACKEND_DRAINED, BACKEND_HANGS, BACKEND_ERRS,
                        BACKEND_RESETS, BACKEND_FULL -> injectBackendFault(fault);
                case PROXY_KILLED, PROXY_TERMINATED, SIGNALS_IN_SERIES, PROXY_PAUSED, CLOCK_STEPPED,
                        ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS -> injectProxyFault(fault);
                default -> throw new IllegalStateException(fault.toString());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void injectDiscoveryFault(Fault fault) throws IOException, InterruptedException {
        if (!reserveDiscovery()) {
            return;
        }
        try {
            switch (fault.kind()) {
                case DISCOVERY_DOWN -> {
                    long fromNs = System.nanoTime();
                    discovery().crash();
                    TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                    discovery().restart(fault.randomChoice() % 2 == 0);
                    observations.addOutage(fromNs, System.nanoTime());
                }
                case DISCOVERY_FAILING -> failDiscovery(DiscoveryServer.Mode.FAILING,
                        Duration.ofMillis(fault.durationMs()));
                case DISCOVERY_SILENT -> failDiscovery(DiscoveryServer.Mode.SILENT,
                        Duration.ofMillis(fault.durationMs()));
                default -> {
                    long fromNs = System.nanoTime();
                    discoveryInUse = 1 - discoveryInUse;
                    for (ProxyInstance proxy : proxies) {
                        proxy.changeDiscovery(discovery().address());
                    }
                    observations.addOutage(fromNs, System.nanoTime());
                }
            }
        } finally {
            releaseDiscovery();
        }
    }

    private void injectBackendFault(Fault fault) throws InterruptedException {
        int backend = fault.randomChoice() % size.backends();
        if (!reserveBackend(backend)) {
            return;
        }
        try {
            switch (fault.kind()) {
                case BACKEND_CRASHED -> {
                    backends.crash(backend);
                    setStatus(backend, Status.DELETED, 0);
                    TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                    backends.restart(backend);
                    setStatus(backend, Status.SERVING, System.currentTimeMillis());
                }
                case BACKEND_REMOVED, BACKEND_DRAINED -> {
                    setStatus(backend, fault.kind() == FaultPlan.Kind.BACKEND_REMOVED ? Status.DELETED
                            : Status.DRAINING, 0);
                    TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                    setStatus(backend, Status.SERVING, System.currentTimeMillis());
                }
                default -> {
                    backends.mode(backend, switch (fault.kind()) {
                        case BACKEND_HANGS -> FaultyBackends.Mode.HANGING;
                        case BACKEND_ERRS -> FaultyBackends.Mode.ERRING;
                        case BACKEND_RESETS -> FaultyBackends.Mode.RESETTING;
                        default -> FaultyBackends.Mode.FULL;
                    });
                    TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                    backends.mode(backend, FaultyBackends.Mode.SERVING);
                }
            }
        } finally {
            releaseBackend(backend);
        }
    }

    private void injectProxyFault(Fault fault) throws IOException, InterruptedException {
        ProxyInstance proxy = proxies.get(fault.randomChoice() % proxies.size());
        if (!reserveProxy(proxy.number())) {
            return;
        }
        try {
            switch (fault.kind()) {
                case PROXY_KILLED -> restart(proxy, fault.durationMs());
                case PROXY_TERMINATED -> terminate(proxy, fault);
                case SIGNALS_IN_SERIES -> {
                    for (String signal : SIGNAL_SERIES) {
                        proxy.signal(signal);
                    }
                }
                case PROXY_PAUSED -> {
                    proxy.signal("STOP");
                    TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                    proxy.signal("CONT");
                }
                default -> injectSystemCallFault(proxy, fault);
            }
        } finally {
            releaseProxy(proxy.number());
        }
    }

    /**
     * Ends a proxy as a planned restart does: new connections come for a while after SIGTERM, open ones are
     * used until SIGKILL, which comes as early as it may. Some get further signals meanwhile.
     */
    private void terminate(ProxyInstance proxy, Fault fault) throws IOException, InterruptedException {
        proxy.signal("TERM");
        long killAtNs = System.nanoTime() + RequestKind.LONGEST_DEADLINE.plus(KILL_MARGIN).toNanos();
        TimeUnit.MILLISECONDS.sleep(NEW_CONNECTIONS_AFTER_TERM_MS);
        proxy.stopNewConnections();
        if (fault.randomChoice() % 2 == 0) {
            proxy.signal("HUP");
            proxy.signal("TERM");
        }
        TimeUnit.NANOSECONDS.sleep(killAtNs - System.nanoTime());
        restart(proxy, fault.durationMs());
    }

    private void injectSystemCallFault(ProxyInstance proxy, Fault fault) throws InterruptedException {
        FaultShim.Errno[] errors = FaultShim.Errno.values();
        FaultShim.Errno error = errors[fault.randomChoice() / size.proxies() % errors.length];
        switch (fault.kind()) {
            case CLOCK_STEPPED -> proxy.shim().stepClock(Duration.ofSeconds(
                    switch (fault.randomChoice() % 4) {
                        case 0 -> LARGE_CLOCK_STEP_S;
                        case 1 -> -LARGE_CLOCK_STEP_S;
                        case 2 -> 5;
                        default -> -5;
                    }));
            case ACCEPT_FAILS -> proxy.shim().failAccept(FAULT_PERMILLE, error);
            case CONNECT_FAILS -> proxy.shim().failConnect(FAULT_PERMILLE, error);
            default -> proxy.shim().failSocket(FAULT_PERMILLE, error);
        }
        TimeUnit.MILLISECONDS.sleep(fault.durationMs());
        proxy.shim().failAccept(0, error);
        proxy.shim().failConnect(0, error);
        proxy.shim().failSocket(0, error);
    }

    private void restart(ProxyInstance proxy, int pauseMs) throws IOException, InterruptedException {
        boolean wasAlive = proxy.isAlive();
        proxy.kill();
        killTimesNs.computeIfAbsent(proxy.number(), n -> new CopyOnWriteArrayList<>()).add(proxy.killedNs());
        TimeUnit.MILLISECONDS.sleep(pauseMs);
        proxy.setInitialEndpoints(listedEndpoints());
        proxy.start();
        if (!proxy.awaitReady(RESTART_TIMEOUT) && wasAlive) {
            violations.add(new Violation(Rule.NOT_READY, "n" + proxy.number() + " after a restart"));
        }
    }

    @Override
    public void close() {
        faultExecutor.shutdownNow();
        proxies.forEach(ProxyInstance::close);
        discoveries.forEach(DiscoveryServer::close);
        backends.close();
    }
}
