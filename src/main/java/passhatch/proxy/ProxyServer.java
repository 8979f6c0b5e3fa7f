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

    private static final long SWEEP_MS = 250;
    private static final long SENT_CHECK_MS = 10;
    /**
     * Descriptors for the JVM's own files, the selector, the listener, discovery, and connections that are
     * closed but not yet let go of by the selector.
     */
    private static final int OWN_DESCRIPTORS = 40;
    /** Part of the rest for callers; they have more connections open than requests. */
    private static final double FOR_CALLERS = 0.55;
    /** Part of the heap that bodies of requests may hold. */
    private static final int BODY_PART = 6;

    /** Makes the decision module. */
    interface Module {
        Balancer create(Settings settings, long seed, Actions actions);
    }

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final EventLog log;
    private final long longestDeadlineMs;
    private final CountDownLatch ended = new CountDownLatch(1);
    private ProxyLoop proxy;
    private ClientServer clients;
    private DrainState drain;
    private Console console;
    private BackendPool pool;
    private Handover handover;
    private int ownDescriptors;
    /** The process is about to be killed. */
    private boolean answeredAll;
    /** All is answered but for what may still come on open connections. */
    private boolean awaitsLast;
    /** Whether that is over is seen in a moment. */
    private boolean checksAgain;
    /** What the process ends with. */
    private volatile int status;
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
        NettyDefaults.set();
        ProxyServer server;
        try {
            server = start(ProxyConfig.read(env), new EventLog(err), LeastLoadedBalancer::new);
        } catch (ProxyConfig.BadConfig bad) {
            err.println("passhatch: " + bad.getMessage());
            return 2;
        } catch (ExecutionException bug) {
            throw new IllegalStateException(bug);
        }
        started.complete(server);
        CountDownLatch ended = server.ended;
        // The JVM ends as soon as its hooks have returned, with the status of the signal: so this hook stays
        // until all is answered, and then ends the process itself.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            server.shutDown();
            try {
                ended.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            Runtime.getRuntime().halt(server.status);
        }));
        ended.await();
        return server.status;
    }

    /** Starts a proxy and returns once it listens. */
    static ProxyServer start(ProxyConfig config, EventLog log, Module module)
            throws ProxyConfig.BadConfig, InterruptedException, ExecutionException {
        return start(config, log, module, new Clock());
    }

    /** Starts one that goes by the clock. */
    static ProxyServer start(ProxyConfig config, EventLog log, Module module, Clock clock)
            throws ProxyConfig.BadConfig, InterruptedException, ExecutionException {
        ProxyServer server = new ProxyServer(config, log);
        try {
            server.loop.submit(() -> server.build(config, module, clock)).sync();
        } catch (IllegalArgumentException bad) {
            server.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw new ProxyConfig.BadConfig("config: settings: " + bad.getMessage());
        }
        if (config.console() == null || !server.loop.submit(server.handover::hasPeer).get()) {
            ChannelFuture listening = server.clients.listen(config.listen(), config.console() != null)
                    .await();
            if (!listening.isSuccess()) {
                server.end();
                throw new ProxyConfig.BadConfig("PROXY_LISTEN: " + listening.cause().getMessage());
            }
            server.address = (InetSocketAddress) listening.channel().localAddress();
        }
        if (config.console() != null) {
            try {
                server.consoleAddress = server.console.listen(config.console());
            } catch (IOException e) {
                server.end();
                throw new ProxyConfig.BadConfig("PROXY_CONSOLE: " + e.getMessage());
            }
            server.loop.execute(() -> server.proxy.readiness()
                    .whenListed(() -> server.serve(config.listen())));
        }
        return server;
    }

    /** Takes clients, beside another process if there is one, which until now had them all. */
    private void serve(InetSocketAddress listen) {
        if (clients.isListening()) {
            handover.serving(true);
            return;
        }
        clients.listen(listen, true).addListener((ChannelFuture listening) -> {
            if (listening.isSuccess()) {
                address = (InetSocketAddress) listening.channel().localAddress();
                log.line("handover: this process serves beside the one before it");
                handover.serving(true);
            } else {
                log.line("PROXY_LISTEN: " + listening.cause().getMessage());
                status = 2;
                end();
            }
        });
    }

    private void build(ProxyConfig config, Module module, Clock clock) {
        ownDescriptors = OWN_DESCRIPTORS + (config.console() == null ? 0 : Console.MOST_OPEN + 1);
        int forCallers = forCallers(config.sockets());
        pool = new BackendPool(loop, clock, log, config.connectTimeoutUs(),
                config.settings().limits().keepaliveUs(), forBackends(config.sockets()));
        loop.scheduleAtFixedRate(pool::closeStale, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        proxy = new ProxyLoop(loop, clock, log, config, pool, module);
        drain = new DrainState(loop);
        console = new Console(loop, log, new ConsoleRoutes(new Staff()));
        clients = new ClientServer(loop, clock, log, new RequestParser(config), proxy, forCallers,
                new BodyBudget((int) Math.min(1L << 30, Runtime.getRuntime().maxMemory() / BODY_PART)),
                drain);
        if (config.console() != null) {
            handover = new Handover(loop, log, config.folder(), config.name(),
                    new SetByHand(config.sockets()));
        }
    }

    private int forOthers(int descriptors) {
        return Math.max(8, descriptors - ownDescriptors);
    }

    private int forCallers(int descriptors) {
        return (int) (forOthers(descriptors) * FOR_CALLERS);
    }

    private int forBackends(int descriptors) {
        return forOthers(descriptors) - forCallers(descriptors);
    }

    /** Follows what staff set, on whichever process's console, and makes room for another process. */
    private final class SetByHand implements Handover.Listener {
        private final int descriptors;
        private SharedState now = SharedState.NOTHING_SET;

        SetByHand(int descriptors) {
            this.descriptors = descriptors;
        }

        @Override
        public void set(SharedState state) {
            SharedState before = now;
            now = state;
            state.out().stream().filter(id -> !before.out().contains(id))
                    .forEach(id -> proxy.setDisabled(id, true));
            before.out().stream().filter(id -> !state.out().contains(id))
                    .forEach(id -> proxy.setDisabled(id, false));
            if (state.outOfService() != before.outOfService()) {
                log.line(state.outOfService() ? "out of service by hand" : "in service by hand");
                if (state.outOfService()) {
                    drain.outOfService();
                } else {
                    drain.inService();
                }
            }
        }

        @Override
        public void alone(boolean alone) {
            int share = alone ? descriptors : descriptors / 2;
            clients.setMaxConnections(forCallers(share));
            pool.mostOpen(forBackends(share));
        }
    }

    /** What the console has done. */
    private final class Staff implements ConsoleRoutes.Operations {
        @Override
        public boolean ready() {
            return proxy.readiness().isReady() && clients.isListening() && !drain.isEnding();
        }

        @Override
        public String counters() {
            return proxy.counters();
        }

        @Override
        public boolean knows(String backend) {
            return proxy.isKnownBackend(backend);
        }

        @Override
        public void setOut(String backend, boolean out, Consumer<Boolean> done) {
            handover.change(state -> state.withOut(backend, out), done);
        }

        @Override
        public void setOutOfService(boolean out, Consumer<Boolean> done) {
            if (!out && drain.isEnding() && !handover.hasPeer()) {
                done.accept(false);
            } else {
                handover.change(state -> state.withOutOfService(out), done);
            }
        }
    }

    /**
     * Reads the configuration again and follows it; one that cannot be used changes nothing. One at a time,
     * so that what was read last holds.
     */
    synchronized void reload(Map<String, String> env) {
        InetSocketAddress discovery;
        String said;
        try {
            discovery = ProxyConfig.rereadDiscovery(env);
            said = "configuration read again: discovery is " + (discovery == null ? "as before" : discovery);
        } catch (ProxyConfig.BadConfig | RuntimeException bad) {
            // Whatever the file holds, the signal's thread must not end over it with nothing said.
            discovery = null;
            said = "configuration not taken over, the one before stays: " + bad.getMessage();
        }
        InetSocketAddress watched = discovery;
        String line = said;
        try {
            loop.execute(() -> {
                log.line(line);
                if (watched != null) {
                    proxy.setDiscoveryAddress(watched);
                }
            });
        } catch (RejectedExecutionException ended) {
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
            drain.end();
            boolean succeeded = handover != null && handover.hasSuccessor();
            Ending ending = Ending.of(longestDeadlineMs, succeeded);
            if (succeeded) {
                log.line("handover: another process serves; what it can take is left to it");
                handover.serving(false);
                drain.sendAway();
            }
            loop.schedule(clients::stopListening, ending.acceptUntilMs(), TimeUnit.MILLISECONDS);
            loop.schedule(() -> {
                drain.letGo();
                proxy.whenIdle(this::endOnceDone);
            }, ending.takeUntilMs(), TimeUnit.MILLISECONDS);
            loop.schedule(() -> {
                proxy.terminateAll();
                answeredAll = true;
                proxy.whenIdle(this::endOnceDone);
            }, ending.answerAtMs(), TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Ends once nothing is open: the network has taken all answers, where a slow client may take its time
     * over a long one, no client has only just connected, and no request is half in. At the last, one that is
     * half in is not waited for.
     */
    private void endOnceDone() {
        if (checksAgain) {
            return;
        }
        clients.closeIdleConnections();
        if (clients.hasUnsentResponses() || clients.mayHaveUnreadRequests() || !answeredAll
                && clients.hasOpenRequests()) {
            if (!awaitsLast) {
                awaitsLast = true;
                log.line("the last connections are waited for");
            }
            checksAgain = true;
            loop.schedule(() -> {
                checksAgain = false;
                proxy.whenIdle(this::endOnceDone);
            }, SENT_CHECK_MS, TimeUnit.MILLISECONDS);
        } else {
            end();
        }
    }

    /** Takes no more connections, as at the end. */
    void stopListening() {
        clients.stopListening();
    }

    /** Does something in a later step of the loop, which stands still meanwhile. */
    Future<?> inLoop(Callable<?> what) {
        return loop.submit(what);
    }

    /** Waits until it has shut down. */
    boolean awaitEnd(long ms) throws InterruptedException {
        return ended.await(ms, TimeUnit.MILLISECONDS);
    }

    /** Ends at once, whatever is out. */
    void stopNow() {
        loop.execute(this::end);
    }

    private void end() {
        proxy.stop();
        console.close();
        if (handover != null) {
            handover.close();
        }
        clients.closeIdleConnections();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).addListener(done -> ended.countDown());
    }
}
