package passhatch.proxy;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Settings;
import passhatch.LeastLoadedBalancer;

/**
 * One proxy on real sockets: creates its components, reloads its configuration and shuts it down. Apart from
 * starting, reloading and waiting for the end, everything runs on one event loop.
 */
public final class ProxyServer {

    /** How often stale and stalled backend connections are closed. */
    private static final long POOL_SWEEP_INTERVAL_US = 250_000;
    private static final long START_RETRY_DELAY_MS = 100;
    /** How often a shutdown checks whether connections still need this process. */
    private static final long DRAIN_CHECK_INTERVAL_MS = 10;
    /**
     * File descriptors reserved for the JVM's own files, the selector, the listener, discovery, and
     * connections that are closed but still registered with the selector.
     */
    private static final int RESERVED_DESCRIPTORS = 40;
    /**
     * Fraction of the remaining descriptors that clients get; the backends get the rest. Clients have more
     * connections open than requests.
     */
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.55;
    /** Exit status of a process whose event loop has failed; 70 means an internal error (sysexits.h). */
    static final int LOOP_FAILURE_STATUS = 70;
    private static final String LOOP_FAILURE_MESSAGE =
            "passhatch: the event loop has ended because of an error; the process ends";

    /** Creates the decision module. */
    interface ModuleFactory {
        /**
         * Creates a module that acts on the network through the given actions.
         *
         * @throws IllegalArgumentException if the settings are invalid
         */
        Balancer create(Settings settings, long seed, Actions actions);
    }

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final EventLog log;
    private final long longestDeadlineMs;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private ProxyLoop proxy;
    private ClientServer clientServer;
    private DrainState drainState;
    private Console console;
    private BackendPool backendPool;
    private Handover handover;
    private int reservedDescriptors;
    /** Whether every pending request has been given its final response because SIGKILL is about to come. */
    private boolean finalResponsesSent;
    /** Whether the log says that the shutdown waits for the last connections; it is said once. */
    private boolean drainWaitLogged;
    /** Whether the next check for remaining connections is already scheduled. */
    private boolean drainCheckScheduled;
    /** Exit status of the process. */
    private volatile int exitStatus;
    /** Whether the event loop has been asked to end. */
    private volatile boolean terminating;
    private volatile InetSocketAddress address;
    private InetSocketAddress consoleAddress;

    private ProxyServer(ProxyConfig config, EventLog log, Runnable onLoopFailure) {
        this.log = log;
        this.group = new FairEventLoopGroup(new EventLoopThreadFactory(() -> !terminating, onLoopFailure));
        this.loop = group.next();
        this.longestDeadlineMs = TimeUnit.MICROSECONDS.toMillis(config.settings().classes().stream()
                .mapToLong(RequestClass::deadlineUs).max().orElseThrow());
    }

    /**
     * Runs a proxy until the process receives SIGTERM. A proxy that starts ends the JVM itself, so this
     * returns only if the proxy cannot start or cannot listen later.
     *
     * @param env the environment, with the {@code PROXY_} variables
     * @param err receives the log and the reason for a failed start
     * @return the exit status
     */
    public static int serve(Map<String, String> env, PrintStream err) throws InterruptedException {
        // Installed before anything else, because SIGHUP ends a process without a handler. A signal that
        // arrives during the start takes effect once the start has completed.
        CompletableFuture<ProxyServer> started = new CompletableFuture<>();
        if (!HangUpSignal.onEach(() -> started.thenAccept(s -> s.reload(env)))) {
            err.println("passhatch: SIGHUP cannot be handled: it is ignored or ends the process");
        }
        NettyDefaults.apply();
        ProxyServer server;
        try {
            ProxyConfig config = ProxyConfig.read(env);
            EventLog log = new EventLog(err);
            server = start(config, log, LeastLoadedBalancer::new, new Clock(), memoryOf(config, log),
                    () -> haltAfterLoopFailure(err));
        } catch (ProxyConfig.InvalidConfigException e) {
            err.println("passhatch: " + e.getMessage());
            return 2;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        started.complete(server);
        CountDownLatch terminated = server.terminated;
        // The JVM exits with the signal's status as soon as its shutdown hooks return. So this hook waits
        // until all requests are answered and then halts the process with the proxy's own status.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            server.shutDown();
            try {
                terminated.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().halt(server.exitStatus);
        }));
        terminated.await();
        return server.exitStatus;
    }

    /** The memory budgets, which follow from the heap and the limit in the configuration. */
    private static ProxyMemory memoryOf(ProxyConfig config, EventLog log) {
        int processes = config.maxProcesses();
        if (!ProxyMemory.fits(config.memoryMb(), processes)) {
            log.line("limits.memory_mb is " + config.memoryMb() + ", but " + processes + " process(es) take "
                    + processes * ProxyMemory.PROCESS_MB + " MB before they hold anything for clients");
        }
        return ProxyMemory.of(Runtime.getRuntime().maxMemory(), config.memoryMb(), processes);
    }

    /**
     * Ends the process, whose event loop has ended: it could answer nothing any more, but would keep its
     * clients and its address. There may be no memory left, so the process ends even if nothing can be
     * logged.
     */
    private static void haltAfterLoopFailure(PrintStream err) {
        try {
            err.println(LOOP_FAILURE_MESSAGE);
        } finally {
            Runtime.getRuntime().halt(LOOP_FAILURE_STATUS);
        }
    }

    /**
     * Starts a proxy on the system clock, with memory budgets that fit the heap, that does nothing if its
     * event loop fails.
     *
     * @see #start(ProxyConfig, EventLog, ModuleFactory, Clock, ProxyMemory, Runnable)
     */
    static ProxyServer start(ProxyConfig config, EventLog log, ModuleFactory moduleFactory)
            throws ProxyConfig.InvalidConfigException, InterruptedException, ExecutionException {
        return start(config, log, moduleFactory, new Clock(),
                ProxyMemory.ofHeap(Runtime.getRuntime().maxMemory()), () -> { });
    }

    /**
     * Starts a proxy on the given clock and returns once it listens. If another process of the same proxy is
     * running, only the console listens at first: clients are accepted once a list of backends has been
     * received.
     *
     * @param memory limits the bytes that are held for clients and backends
     * @param onLoopFailure called if the event loop ends without having been asked to
     * @throws ProxyConfig.InvalidConfigException if the settings are invalid or an address cannot be
     *     listened on
     * @throws ExecutionException if checking for another process fails because of an error in this program
     */
    static ProxyServer start(ProxyConfig config, EventLog log, ModuleFactory moduleFactory, Clock clock,
            ProxyMemory memory, Runnable onLoopFailure)
            throws ProxyConfig.InvalidConfigException, InterruptedException, ExecutionException {
        ProxyServer server = new ProxyServer(config, log, onLoopFailure);
        try {
            server.loop.submit(() -> server.createComponents(config, moduleFactory, clock, memory)).sync();
        } catch (IllegalArgumentException e) {
            server.terminating = true;
            server.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw new ProxyConfig.InvalidConfigException("config: settings: " + e.getMessage());
        }
        if (config.console() == null || !server.loop.submit(server.handover::hasPeer).get()) {
            ChannelFuture listening = server.clientServer.listen(config.listen(), config.console() != null)
                    .await();
            if (!listening.isSuccess()) {
                server.terminate();
                throw new ProxyConfig.InvalidConfigException("PROXY_LISTEN: "
                        + listening.cause().getMessage());
            }
            server.address = (InetSocketAddress) listening.channel().localAddress();
        }
        if (config.console() != null) {
            try {
                server.consoleAddress = server.console.listen(config.console());
            } catch (IOException e) {
                server.terminate();
                throw new ProxyConfig.InvalidConfigException("PROXY_CONSOLE: " + e.getMessage());
            }
            server.loop.execute(() -> server.proxy.readiness()
                    .whenListReceived(() -> server.startServingOrRetry(config.listen())));
        }
        return server;
    }

    private void startServingOrRetry(InetSocketAddress listenAddress) {
        FailureIsolation.run(log, "the start of serving", () -> startServing(listenAddress),
                () -> loop.schedule(() -> startServingOrRetry(listenAddress), START_RETRY_DELAY_MS,
                        TimeUnit.MILLISECONDS));
    }

    /**
     * Accepts clients, now that a list of backends has been received, and announces that to the other
     * process of this proxy, if there is one. That process received all clients until now.
     */
    private void startServing(InetSocketAddress listenAddress) {
        if (clientServer.isListening()) {
            handover.setServing(true);
            return;
        }
        clientServer.listen(listenAddress, true).addListener((ChannelFuture listening) -> {
            if (listening.isSuccess()) {
                address = (InetSocketAddress) listening.channel().localAddress();
                log.line("handover: this process now accepts clients beside the earlier one");
                handover.setServing(true);
            } else {
                log.line("PROXY_LISTEN: " + listening.cause().getMessage());
                exitStatus = 2;
                terminate();
            }
        });
    }

    private void createComponents(ProxyConfig config, ModuleFactory moduleFactory, Clock clock,
            ProxyMemory memory) {
        reservedDescriptors = RESERVED_DESCRIPTORS
                + (config.console() == null ? 0 : Console.MAX_CONNECTIONS + 1);
        int clientDescriptors = clientDescriptors(config.maxDescriptors());
        backendPool = new BackendPool(loop, clock, log, config.connectTimeoutUs(),
                config.settings().limits().keepaliveUs(), backendDescriptors(config.maxDescriptors()),
                memory.transfer());
        RepeatingTask.start(loop, log, "close of stale backend connections", POOL_SWEEP_INTERVAL_US,
                backendPool::closeStale);
        proxy = new ProxyLoop(loop, clock, log, config, backendPool, moduleFactory, memory,
                requestIds(config));
        drainState = new DrainState(loop);
        console = new Console(loop, clock, log, new ConsoleRoutes(new ConsoleOperations()));
        clientServer = new ClientServer(loop, clock, log, new RequestParser(config), proxy, clientDescriptors,
                memory, drainState);
        if (config.console() != null) {
            handover = new Handover(loop, log, config.stateDirectory(), config.name(),
                    new SharedStateListener(config.maxDescriptors()));
        }
    }

    /** The ids of sent requests; shared with the other process of an upgrade where there may be one. */
    private RequestIdTable requestIds(ProxyConfig config) {
        if (config.console() != null && config.stateDirectory() != null) {
            try {
                return RequestIdTable.sharedIn(
                        StateDirectory.requestIdFile(config.stateDirectory(), config.name()));
            } catch (IOException | RuntimeException e) {
                log.line("handover: the ids of requests cannot be shared with another process: " + e);
            }
        }
        return RequestIdTable.ofThisProcess();
    }

    private int sharedDescriptors(int descriptors) {
        return Math.max(8, descriptors - reservedDescriptors);
    }

    private int clientDescriptors(int descriptors) {
        return (int) (sharedDescriptors(descriptors) * CLIENT_DESCRIPTOR_FRACTION);
    }

    private int backendDescriptors(int descriptors) {
        return sharedDescriptors(descriptors) - clientDescriptors(descriptors);
    }

    /**
     * Applies the state that operators set on the console of any process of this proxy, and halves this
     * process's connection limits while another process shares the machine.
     */
    private final class SharedStateListener implements Handover.Listener {
        private final int descriptors;
        private SharedState current = SharedState.INITIAL;

        SharedStateListener(int descriptors) {
            this.descriptors = descriptors;
        }

        @Override
        public void stateChanged(SharedState state) {
            SharedState previous = current;
            current = state;
            state.disabledBackends().stream().filter(id -> !previous.disabledBackends().contains(id))
                    .forEach(id -> proxy.setDisabled(id, true));
            previous.disabledBackends().stream().filter(id -> !state.disabledBackends().contains(id))
                    .forEach(id -> proxy.setDisabled(id, false));
            if (state.outOfService() != previous.outOfService()) {
                log.line(state.outOfService() ? "taken out of service by an operator"
                        : "returned to service by an operator");
                if (state.outOfService()) {
                    drainState.takeOutOfService();
                } else {
                    drainState.returnToService();
                }
            }
        }

        @Override
        public void aloneChanged(boolean alone) {
            int available = alone ? descriptors : descriptors / 2;
            clientServer.setMaxConnections(clientDescriptors(available));
            backendPool.setMaxOpen(backendDescriptors(available));
        }
    }

    /** Carries out the operations of the console. */
    private final class ConsoleOperations implements ConsoleRoutes.Operations {
        @Override
        public boolean isReady() {
            return proxy.readiness().isReady() && clientServer.isListening() && !drainState.isShuttingDown();
        }

        @Override
        public String counters() {
            return proxy.counters(clientServer::addMetrics);
        }

        @Override
        public boolean isKnown(String backend) {
            return proxy.isKnownBackend(backend);
        }

        @Override
        public void setDisabled(String backend, boolean disabled, Consumer<Boolean> onDone) {
            handover.change(state -> state.withDisabled(backend, disabled), onDone);
        }

        @Override
        public void setOutOfService(boolean outOfService, Consumer<Boolean> onDone) {
            if (!outOfService && drainState.isShuttingDown() && !handover.hasPeer()) {
                onDone.accept(false);
            } else {
                handover.change(state -> state.withOutOfService(outOfService), onDone);
            }
        }
    }

    /**
     * Reads the configuration again and applies the address of discovery. A configuration that is invalid or
     * cannot be read is logged and changes nothing. Reloads run one at a time, so that the configuration
     * that was read last takes effect.
     */
    synchronized void reload(Map<String, String> env) {
        InetSocketAddress discovery;
        String message;
        try {
            discovery = ProxyConfig.rereadDiscovery(env);
            message = "configuration reloaded: discovery address is "
                    + (discovery == null ? "unchanged" : discovery);
        } catch (ProxyConfig.InvalidConfigException | RuntimeException e) {
            // No content of the file may end the signal thread without a log line.
            discovery = null;
            message = "configuration not reloaded, the previous one stays in effect: " + e.getMessage();
        }
        InetSocketAddress newDiscovery = discovery;
        String logLine = message;
        try {
            loop.execute(() -> {
                log.line(logLine);
                if (newDiscovery != null) {
                    proxy.setDiscoveryAddress(newDiscovery);
                }
            });
        } catch (RejectedExecutionException loopStopped) {
            // The event loop has stopped because the process is ending; there is nothing to reconfigure.
        }
    }

    /** The address clients connect to, or null if this process has not listened for clients yet. */
    InetSocketAddress address() {
        return address;
    }

    /** The address of the console, or null if there is none. */
    InetSocketAddress consoleAddress() {
        return consoleAddress;
    }

    /**
     * Shuts down gracefully, at the times of {@link ShutdownSchedule}: connections are accepted for a short
     * time longer, and every request that was accepted is answered.
     */
    void shutDown() {
        loop.execute(() -> {
            log.line("shutting down");
            drainState.beginShutdown();
            boolean hasSuccessor = hasSuccessor();
            ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs, hasSuccessor);
            scheduleStep("the end of listening", clientServer::stopListening,
                    schedule.stopListeningAfterMs());
            scheduleStep("the close of connections", () -> {
                drainState.closeAfterResponsesAndIdle();
                waitForDrain();
            }, schedule.closeConnectionsAfterMs());
            scheduleStep("the final responses", () -> {
                finalResponsesSent = true;
                FailureIsolation.run(log, "the final responses", proxy::terminateAll);
                waitForDrain();
            }, schedule.respondToAllAfterMs());
            if (hasSuccessor) {
                log.line("handover: another process serves; new clients are left to it");
                drainState.closeAfterResponses();
                FailureIsolation.run(log, "the handover", () -> handover.setServing(false));
            }
        });
    }

    /** Whether another process of this proxy serves; false if that cannot be found out. */
    private boolean hasSuccessor() {
        try {
            return handover != null && handover.hasSuccessor();
        } catch (RuntimeException | Error thrown) {
            log.bug("in the search for another process", thrown);
            return false;
        }
    }

    /** Schedules a step of the shutdown; one that throws leaves the others. */
    private void scheduleStep(String name, Runnable step, long delayMs) {
        loop.schedule(FailureIsolation.isolated(log, name, step), delayMs, TimeUnit.MILLISECONDS);
    }

    private void waitForDrain() {
        proxy.whenIdle(FailureIsolation.isolated(log, "the end of the drain", this::terminateOnceDrained,
                this::scheduleDrainCheck));
    }

    /**
     * Terminates once no connection needs this process any more: all responses have been handed to the
     * network, which can take a slow client some time with a long response, no client has only just
     * connected, and no request is partly received. Once the final responses have been sent, partly received
     * requests are no longer waited for.
     */
    private void terminateOnceDrained() {
        if (drainCheckScheduled) {
            return;
        }
        clientServer.closeIdleConnections();
        if (clientServer.hasUnsentResponses() || clientServer.mayHaveUnreadRequests()
                || !finalResponsesSent && clientServer.hasOpenRequests()) {
            if (!drainWaitLogged) {
                drainWaitLogged = true;
                log.line("the last connections are waited for");
            }
            scheduleDrainCheck();
        } else {
            terminate();
        }
    }

    private void scheduleDrainCheck() {
        if (drainCheckScheduled) {
            return;
        }
        drainCheckScheduled = true;
        loop.schedule(() -> {
            drainCheckScheduled = false;
            waitForDrain();
        }, DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops accepting client connections, as a shutdown does. */
    void stopListening() {
        clientServer.stopListening();
    }

    /** Runs a task on the event loop, which does nothing else while the task runs. */
    Future<?> submitToLoop(Callable<?> task) {
        return loop.submit(task);
    }

    /**
     * Waits until the proxy has terminated.
     *
     * @param timeoutMs longest time to wait, in milliseconds
     * @return false if the proxy has not terminated within that time
     */
    boolean awaitTermination(long timeoutMs) throws InterruptedException {
        return terminated.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Terminates without waiting for requests that are in flight. */
    void terminateNow() {
        loop.execute(this::terminate);
    }

    private void terminate() {
        terminating = true;
        FailureIsolation.run(log, "the end of the watch", proxy::stop);
        FailureIsolation.run(log, "the end of the console", console::close);
        if (handover != null) {
            FailureIsolation.run(log, "the end of the handover", handover::close);
        }
        FailureIsolation.run(log, "the close of idle connections", clientServer::closeIdleConnections);
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).addListener(done -> terminated.countDown());
    }
}
