package passhatch.proxy;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
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

/** One real proxy, from its start to its end. */
public final class ProxyServer {

    private static final long POOL_SWEEP_INTERVAL_MS = 250;
    private static final long DRAIN_CHECK_INTERVAL_MS = 10;
    /**
     * Descriptors for the JVM's own files, the selector, the listener, discovery, and connections that are
     * closed but not yet let go of by the selector.
     */
    private static final int RESERVED_DESCRIPTORS = 40;
    /** Part of the rest for callers; they have more connections open than requests. */
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.55;
    /** Part of the heap that bodies of requests may hold. */
    private static final int BODY_BUDGET_HEAP_DIVISOR = 6;

    /** Makes the decision module. */
    interface ModuleFactory {
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
    /** The process is about to be killed. */
    private boolean finalResponsesSent;
    /** All is answered but for what may still come on open connections. */
    private boolean drainWaitLogged;
    /** Whether that is over is seen in a moment. */
    private boolean drainCheckScheduled;
    /** What the process ends with. */
    private volatile int exitStatus;
    private volatile InetSocketAddress address;
    private InetSocketAddress consoleAddress;

    private ProxyServer(ProxyConfig config, EventLog log) {
        this.log = log;
        this.group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("proxy"),
                NioIoHandler.newFactory());
        this.loop = group.next();
        this.longestDeadlineMs = TimeUnit.MICROSECONDS.toMillis(config.settings().classes().stream()
                .mapToLong(RequestClass::deadlineUs).max().orElseThrow());
    }

    /** Runs a proxy until the process gets SIGTERM; returns only where it cannot start, with the status. */
    public static int serve(Map<String, String> env, PrintStream err) throws InterruptedException {
        // First of all: until then SIGHUP ends the process. One that comes before the start is over is
        // followed as soon as it is.
        CompletableFuture<ProxyServer> started = new CompletableFuture<>();
        if (!HangUpSignal.onEach(() -> started.thenAccept(s -> s.reload(env)))) {
            err.println("passhatch: SIGHUP cannot be handled here: it is ignored, or ends the process");
        }
        NettyDefaults.apply();
        ProxyServer server;
        try {
            server = start(ProxyConfig.read(env), new EventLog(err), LeastLoadedBalancer::new);
        } catch (ProxyConfig.InvalidConfigException e) {
            err.println("passhatch: " + e.getMessage());
            return 2;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        started.complete(server);
        CountDownLatch terminated = server.terminated;
        // The JVM ends as soon as its hooks have returned, with the status of the signal: so this hook stays
        // until all is answered, and then ends the process itself.
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

    /** Starts a proxy and returns once it listens. */
    static ProxyServer start(ProxyConfig config, EventLog log, ModuleFactory moduleFactory)
            throws ProxyConfig.InvalidConfigException, InterruptedException, ExecutionException {
        return start(config, log, moduleFactory, new Clock());
    }

    /** Starts one that goes by the clock. */
    static ProxyServer start(ProxyConfig config, EventLog log, ModuleFactory moduleFactory, Clock clock)
            throws ProxyConfig.InvalidConfigException, InterruptedException, ExecutionException {
        ProxyServer server = new ProxyServer(config, log);
        try {
            server.loop.submit(() -> server.createComponents(config, moduleFactory, clock)).sync();
        } catch (IllegalArgumentException e) {
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
                    .whenListReceived(() -> server.startServing(config.listen())));
        }
        return server;
    }

    /** Takes clients, beside another process if there is one, which until now had them all. */
    private void startServing(InetSocketAddress listenAddress) {
        if (clientServer.isListening()) {
            handover.setServing(true);
            return;
        }
        clientServer.listen(listenAddress, true).addListener((ChannelFuture listening) -> {
            if (listening.isSuccess()) {
                address = (InetSocketAddress) listening.channel().localAddress();
                log.line("handover: this process serves beside the one before it");
                handover.setServing(true);
            } else {
                log.line("PROXY_LISTEN: " + listening.cause().getMessage());
                exitStatus = 2;
                terminate();
            }
        });
    }

    private void createComponents(ProxyConfig config, ModuleFactory moduleFactory, Clock clock) {
        reservedDescriptors = RESERVED_DESCRIPTORS
                + (config.console() == null ? 0 : Console.MAX_CONNECTIONS + 1);
        int clientDescriptors = clientDescriptors(config.maxDescriptors());
        backendPool = new BackendPool(loop, clock, log, config.connectTimeoutUs(),
                config.settings().limits().keepaliveUs(), backendDescriptors(config.maxDescriptors()));
        loop.scheduleAtFixedRate(backendPool::closeStale, POOL_SWEEP_INTERVAL_MS, POOL_SWEEP_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        proxy = new ProxyLoop(loop, clock, log, config, backendPool, moduleFactory);
        drainState = new DrainState(loop);
        console = new Console(loop, log, new ConsoleRoutes(new ConsoleOperations()));
        clientServer = new ClientServer(loop, clock, log, new RequestParser(config), proxy, clientDescriptors,
                new BodyBudget((int) Math.min(1L << 30,
                        Runtime.getRuntime().maxMemory() / BODY_BUDGET_HEAP_DIVISOR)),
                drainState);
        if (config.console() != null) {
            handover = new Handover(loop, log, config.stateDirectory(), config.name(),
                    new SharedStateListener(config.maxDescriptors()));
        }
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

    /** Follows what staff set, on whichever process's console, and makes room for another process. */
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
                log.line(state.outOfService() ? "out of service by hand" : "in service by hand");
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
            backendPool.mostOpen(backendDescriptors(available));
        }
    }

    /** What the console has done. */
    private final class ConsoleOperations implements ConsoleRoutes.Operations {
        @Override
        public boolean isReady() {
            return proxy.readiness().isReady() && clientServer.isListening() && !drainState.isShuttingDown();
        }

        @Override
        public String counters() {
            return proxy.counters();
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
     * Reads the configuration again and follows it; one that cannot be used changes nothing. One at a time,
     * so that what was read last holds.
     */
    synchronized void reload(Map<String, String> env) {
        InetSocketAddress discovery;
        String message;
        try {
            discovery = ProxyConfig.rereadDiscovery(env);
            message = "configuration read again: discovery is "
                    + (discovery == null ? "as before" : discovery);
        } catch (ProxyConfig.InvalidConfigException | RuntimeException e) {
            // Whatever the file holds, the signal's thread must not end over it with nothing said.
            discovery = null;
            message = "configuration not taken over, the one before stays: " + e.getMessage();
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
            // The process is about to end: there is nothing left that could follow.
        }
    }

    InetSocketAddress address() {
        return address;
    }

    InetSocketAddress consoleAddress() {
        return consoleAddress;
    }

    /**
     * Ends in an orderly way: connections are accepted for a little longer, and everything
     * taken is answered.
     */
    void shutDown() {
        loop.execute(() -> {
            log.line("shutting down");
            drainState.beginShutdown();
            boolean hasSuccessor = handover != null && handover.hasSuccessor();
            ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs, hasSuccessor);
            if (hasSuccessor) {
                log.line("handover: another process serves; what it can take is left to it");
                handover.setServing(false);
                drainState.closeAfterResponses();
            }
            loop.schedule(clientServer::stopListening, schedule.stopListeningAfterMs(),
                    TimeUnit.MILLISECONDS);
            loop.schedule(() -> {
                drainState.closeAfterResponsesAndIdle();
                proxy.whenIdle(this::terminateOnceDrained);
            }, schedule.closeConnectionsAfterMs(), TimeUnit.MILLISECONDS);
            loop.schedule(() -> {
                proxy.terminateAll();
                finalResponsesSent = true;
                proxy.whenIdle(this::terminateOnceDrained);
            }, schedule.respondToAllAfterMs(), TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Ends once nothing is open: the network has taken all answers, where a slow client may take its time
     * over a long one, no client has only just connected, and no request is half in. At the last, one that is
     * half in is not waited for.
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
            drainCheckScheduled = true;
            loop.schedule(() -> {
                drainCheckScheduled = false;
                proxy.whenIdle(this::terminateOnceDrained);
            }, DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            terminate();
        }
    }

    /** Takes no more connections, as at the end. */
    void stopListening() {
        clientServer.stopListening();
    }

    /** Does something in a later step of the loop, which stands still meanwhile. */
    Future<?> submitToLoop(Callable<?> task) {
        return loop.submit(task);
    }

    /** Waits until it has shut down. */
    boolean awaitTermination(long timeoutMs) throws InterruptedException {
        return terminated.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Ends at once, whatever is out. */
    void terminateNow() {
        loop.execute(this::terminate);
    }

    private void terminate() {
        proxy.stop();
        console.close();
        if (handover != null) {
            handover.close();
        }
        clientServer.closeIdleConnections();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).addListener(done -> terminated.countDown());
    }
}
