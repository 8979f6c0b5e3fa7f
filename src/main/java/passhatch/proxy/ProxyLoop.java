package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.DiscoveryFailure;
import passhatch.Balancer.GiveUpReason;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.proxy.BackendPool.OutgoingRequest;
import passhatch.proxy.BackendPool.ResponseSink;
import passhatch.proxy.BackendPool.Result;
import passhatch.proxy.EventLog.Kind;
import passhatch.proxy.Exchange.Attempt;
import passhatch.proxy.SendGuard.WriteConditions;

/**
 * Connects the decision module to clients, backends and discovery. It is the module's only caller: it reports
 * events to the module and executes the actions that the module requests. It holds the state of all accepted
 * requests and makes sure that each gets exactly one final response before its deadline. All methods run in
 * the proxy's event loop.
 */
final class ProxyLoop implements Actions, Discovery.Listener {

    /**
     * A request's deadline here is this long before its client's time-out, because the response takes time to
     * reach the client and the event loop may run late.
     */
    private static final long RESPONSE_MARGIN_US = 20_000;
    /** Delay after a request's deadline until it gets a response here if the module has requested none. */
    private static final long FALLBACK_DELAY_US = 5_000;
    /**
     * Time-out of a load probe. A load report that is older is out of date, and the module includes the
     * latency of each probe in the mean that it waits for.
     */
    private static final long PROBE_TIMEOUT_US = 50_000;
    /** Delay until the module's timer is called again if it has thrown: queued calls depend on it. */
    private static final long TIMER_RETRY_DELAY_US = 100_000;

    /** The client's side of a request, which takes the final response. */
    interface Responder {
        /** Takes the complete final response. */
        void respond(ProxyResponse response);

        /**
         * Starts a streamed final response, in place of {@link #respond}.
         *
         * @param contentLength length of its body in bytes, or -1 if it is not known
         * @param resumeReading called when the sink becomes writable after it was not
         * @return the sink for the parts of the body
         */
        ResponseSink startStream(long contentLength, Runnable resumeReading);

        /** What is known of the client's presence; the request may end within this call. */
        ClientPresence.Status clientStatus();

        /** The client and what is known of its connection, in brackets, as the end of a log line. */
        default String describeClient() {
            return "";
        }

        /** Closes the client's connection, as no response can be given: its client must not wait for one. */
        default void abort() { }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final BackendRegistry backends;
    private final Discovery discovery;
    private final Balancer balancer;
    private final Metrics metrics;
    private final ProxyMemory memory;
    private final SendGuard guard;
    private final RequestClaims claims;
    private final List<RequestClass> classes;
    private final int maxAttempts;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final ArrayDeque<ModuleEvent> events = new ArrayDeque<>();
    /** Whether a call to the module is on the stack; events then wait in {@link #events}. */
    private boolean moduleRunning;
    private final Readiness readiness;
    /** Requests without a final response, or whose streamed response has not ended. */
    private int pendingRequests;
    /** The pending requests whose body has not been received completely. */
    private int incompleteRequests;
    private Runnable onIdle = () -> { };

    /**
     * A call to the module that is due.
     *
     * @param recovery settles what is owed if the module throws
     */
    private record ModuleEvent(Runnable delivery, Runnable recovery) { }

    ProxyLoop(EventLoop loop, Clock clock, EventLog log, ProxyConfig config, BackendPool pool,
            ProxyServer.ModuleFactory module, ProxyMemory memory, RequestIdTable requestIds) {
        this.loop = loop;
        this.claims = new RequestClaims(requestIds, config.settings().classes());
        this.clock = clock;
        this.log = log;
        this.backends = new BackendRegistry(clock, log, pool);
        this.memory = memory;
        this.maxAttempts = config.settings().limits().maxAttempts();
        this.metrics = new Metrics(config.classes());
        this.guard = new SendGuard(log, config.settings().rules().drainGraceUs(), maxAttempts);
        this.classes = config.settings().classes();
        this.readiness = new Readiness(clock, log, config);
        this.discovery = new Discovery(loop, clock, log, config, this);
        this.balancer = module.create(config.settings(), config.seed(), this);
        applyCachedList(config.cachedList());
        if (!config.settings().watch()) {
            discovery.ensureWatching();
        }
    }

    Readiness readiness() {
        return readiness;
    }

    /**
     * The current metrics as text, one per line.
     *
     * @param clientMetrics adds the metrics of client connections
     */
    String counters(Consumer<Metrics.Sink> clientMetrics) {
        return metrics.text(pendingRequests - incompleteRequests, balancer.serverCounts(clock.nowUs()),
                List.of(discovery.calls()::addMetrics, guard::metrics, claims::addMetrics, memory::addMetrics,
                        clientMetrics));
    }

    /** Whether any list from discovery has ever named the backend, or an operator has disabled it. */
    boolean isKnownBackend(String backend) {
        return balancer.knows(backend);
    }

    /** Disables or enables a backend on behalf of an operator. */
    void setDisabled(String backend, boolean disabled) {
        notifyModule(null, () -> {
            if (disabled) {
                balancer.disable(clock.nowUs(), backend);
            } else {
                balancer.enable(clock.nowUs(), backend);
            }
        });
    }

    /** Calls back whenever no request is pending any more, and at once if none is pending now. */
    void whenIdle(Runnable callback) {
        onIdle = callback;
        if (pendingRequests == 0) {
            callback.run();
        }
    }

    /** Stops watching discovery. */
    void stop() {
        discovery.stop();
    }

    /** Moves the watch to another address of discovery. */
    void setDiscoveryAddress(InetSocketAddress address) {
        discovery.switchTo(address);
    }

    // ---- events for the module

    private void applyCachedList(EndpointList cachedList) {
        backends.apply(cachedList);
        notifyModule(null,
                () -> balancer.serversChanged(clock.nowUs(), ListKind.CACHED, cachedList.servers()));
    }

    @Override
    public void onServerList(EndpointList list) {
        backends.apply(list);
        notifyModuleOrRecover(() -> balancer.serversChanged(clock.nowUs(),
                list.full() ? ListKind.FULL : ListKind.CHANGES, list.servers()), discovery::fetchAgain);
        readiness.setListReceived();
    }

    @Override
    public void onDiscoveryFailure(DiscoveryFailure failure) {
        notifyModule(null, () -> balancer.discoveryFailed(clock.nowUs(), failure));
    }

    /** Accepts a request and reports it to the module; false if a request with its id is still open. */
    boolean accept(ProxyRequest request, Responder responder) {
        long nowUs = clock.nowUs();
        Exchange exchange = new Exchange(request, responder,
                nowUs + request.timeLeftUs() - RESPONSE_MARGIN_US);
        if (exchanges.putIfAbsent(request.id(), exchange) != null) {
            return false;
        }
        pendingRequests++;
        exchange.incomplete = !request.body().isComplete();
        incompleteRequests += exchange.incomplete ? 1 : 0;
        if (!exchange.incomplete) {
            startFallbackTimer(exchange);
        }
        notifyModule(exchange, () -> {
            long deliveredAtUs = clock.nowUs();
            balancer.request(deliveredAtUs, new Request(request.id(), request.requestClass(),
                    request.tenant(), Math.max(0, exchange.deadlineUs - deliveredAtUs),
                    request.expectedWorkUs(),
                    request.clientRetry(), exchange.incomplete));
        });
        return true;
    }

    /**
     * Whether an earlier request with the id may have run, and its class forbids that it runs twice. The id
     * may have come to the other process of an upgrade, and its client may have left.
     */
    boolean mayHaveRunBefore(ProxyRequest request) {
        return !exchanges.containsKey(request.id()) && claims.mayHaveRunBefore(request);
    }

    /**
     * Claims the id of a request that is about to be written; false if a request with it may run elsewhere,
     * and this one has failed.
     */
    private boolean claimId(Exchange exchange) {
        boolean claimed = claims.claim(exchange);
        if (!claimed) {
            guard.recordIdClaimed();
            loop.execute(FailureIsolation.isolated(log, "the end of a repeated request",
                    () -> failAfterError(exchange)));
        }
        return claimed;
    }

    /** Counts a request that is refused before it is accepted, because too many bytes are held. */
    void refuseForMemory(ProxyRequest request) {
        metrics.requestEnded(request.requestClass(), Metrics.RequestResult.OVERLOAD);
        metrics.requestRefusedForMemory();
    }

    private void startFallbackTimer(Exchange exchange) {
        exchange.fallbackTimer = loop.schedule(FailureIsolation.isolated(log, "the response at a deadline",
                () -> respondInPlaceOfModule(exchange), () -> failAfterError(exchange)),
                Math.max(0, exchange.deadlineUs - clock.nowUs()) + FALLBACK_DELAY_US,
                TimeUnit.MICROSECONDS);
    }

    /**
     * Called when the last byte of a request has arrived that was accepted before it was complete. Its
     * client's time-out counts from then.
     *
     * @param waitedUs how long that byte has been waiting to be handled, in microseconds
     */
    void requestComplete(String id, long waitedUs) {
        Exchange exchange = exchanges.get(id);
        if (exchange == null || !exchange.incomplete) {
            return;
        }
        markComplete(exchange);
        if (exchange.responded || exchange.streamedAttempt != null) {
            return;
        }
        long nowUs = clock.nowUs();
        exchange.deadlineUs = nowUs - waitedUs + exchange.request.timeLeftUs() - RESPONSE_MARGIN_US;
        startFallbackTimer(exchange);
        for (Attempt attempt : exchange.attempts) {
            if (attempt.outcome == null) {
                attempt.sentAtUs = nowUs;
                if (attempt.handle != null) {
                    attempt.handle.setTimeout(exchange.deadlineUs - nowUs);
                }
            }
        }
        notifyModule(exchange, () -> balancer.requestComplete(clock.nowUs(), id,
                Math.max(0, exchange.deadlineUs - clock.nowUs())));
    }

    /**
     * Ends a request whose body has not been handled completely if its client's time is over. It cannot have
     * run, as no server has all of its body.
     *
     * @param endAtUs when its last byte can have been written at the earliest, in microseconds
     * @param graceUs how long after its client's time it is ended, in microseconds
     */
    void endIfOverdue(String id, long endAtUs, long graceUs) {
        Exchange exchange = exchanges.get(id);
        if (exchange == null || !exchange.incomplete || exchange.responded || exchange.streamedAttempt != null
                || clock.nowUs() < endAtUs + exchange.request.timeLeftUs() + graceUs) {
            return;
        }
        log.line(Kind.REQUEST, "request " + id + " is ended: its server has not taken all of its body in its"
                + " client's time" + exchange.describeAttempts());
        respond(exchange, ProxyResponse.failed());
        cancelAttempts(exchange);
        forget(exchange);
    }

    private void markComplete(Exchange exchange) {
        incompleteRequests -= exchange.incomplete ? 1 : 0;
        exchange.incomplete = false;
    }

    /** Called when part of a request's body was sent that is not buffered, so no retry can send all of it. */
    void bodyDiscarded(String id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            notifyModule(exchange, () -> balancer.bodyDiscarded(clock.nowUs(), id));
        }
    }

    /** Called when the client has disconnected, so that its request needs no response any more. */
    void clientGone(String id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.responded) {
            boolean wasIncomplete = exchange.incomplete;
            markResponded(exchange);
            if (exchange.streamedAttempt != null && exchange.streamedAttempt.handle != null) {
                // The module no longer controls an attempt whose response is streamed to the client.
                exchange.streamedAttempt.handle.cancel();
            }
            if (wasIncomplete) {
                cancelAttempts(exchange);
            }
            forget(exchange);
        }
    }

    /** Ends the attempts of a request of which none can receive the complete body, whatever settings say. */
    private void cancelAttempts(Exchange exchange) {
        exchange.attempts.forEach(Attempt::cancel);
    }

    /** Has the module forget a request that needs no response any more. */
    private void forget(Exchange exchange) {
        notifyModule(exchange, () -> balancer.clientGone(clock.nowUs(), exchange.request.id()));
        removeIfFinished(exchange);
    }

    /**
     * Ends a request for which the module has requested no response in time: with 502 if an attempt may have
     * run, else with 503.
     */
    private void respondInPlaceOfModule(Exchange exchange) {
        if (!exchange.responded && exchange.streamedAttempt == null) {
            log.line(Kind.REQUEST, "request " + exchange.request.id()
                    + " got no response from the decision module in time; the proxy ends it itself");
            respond(exchange, exchange.mayHaveRun() ? ProxyResponse.failed() : ProxyResponse.refused(0));
            forget(exchange);
        }
    }

    /**
     * Ends all open requests shortly before this process is killed, so that none stays without a response.
     * Streamed responses that make progress continue, because aborting them here would certainly lose them.
     * One that is stalled is aborted, so that its client detects the failure before the process is killed.
     * Requests that have their response, and of which only attempts are still in flight, need nothing.
     */
    void terminateAll() {
        FailureIsolation.forEach(log, "the final response at a shutdown", exchanges.values(), this::terminate,
                this::failAfterError);
    }

    private void terminate(Exchange exchange) {
        if (exchange.responded) {
            return;
        }
        if (exchange.streamedAttempt == null) {
            respondInPlaceOfModule(exchange);
        } else if (exchange.streamedAttempt.handle != null) {
            exchange.streamedAttempt.handle.abortIfStalled();
        }
    }

    /**
     * Ends a request whose handling has thrown: its client gets a failure, and the module forgets it. A
     * response that is being streamed continues.
     */
    private void failAfterError(Exchange exchange) {
        if (exchange.isStreaming()) {
            return;
        }
        if (!exchange.responded && exchange.streamedAttempt == null) {
            respond(exchange, ProxyResponse.failed());
        } else if (!exchange.responded) {
            markResponded(exchange);
            abortConnection(exchange);
        }
        notifyModule(null, () -> balancer.clientGone(clock.nowUs(), exchange.request.id()));
        removeIfFinished(exchange);
    }

    private void abortConnection(Exchange exchange) {
        FailureIsolation.run(log, "closing a client's connection", exchange.responder::abort);
    }

    /** Notes the end of an attempt, once for each. */
    private void onAttemptEnd(Exchange exchange, Attempt attempt, Result result) {
        if (attempt.outcome != null) {
            log.line(Kind.ATTEMPT, "attempt " + attempt.number + " of " + exchange.request.id()
                    + " has ended before, with " + attempt.outcome + "; " + result.outcome() + " is ignored");
            return;
        }
        FailureIsolation.run(log, "the end of an attempt", () -> attemptEnded(exchange, attempt, result),
                () -> failAfterError(exchange));
    }

    private void attemptEnded(Exchange exchange, Attempt attempt, Result result) {
        attempt.end(result.outcome());
        boolean streamed = exchange.streamedAttempt == attempt;
        long elapsedUs = (streamed ? exchange.streamStartedAtUs : clock.nowUs()) - attempt.sentAtUs;
        if (streamed && !exchange.responded) {
            metrics.requestEnded(exchange.request.requestClass(),
                    result.outcome() == Outcome.OK ? Metrics.RequestResult.SUCCESS
                    : Metrics.RequestResult.ERROR);
            markResponded(exchange);
            if (result.outcome() != Outcome.OK) {
                FailureIsolation.run(log, "the failure of a streamed response", exchange.sink::fail,
                        () -> abortConnection(exchange));
            }
        } else if (result.outcome() == Outcome.OK && !exchange.responded
                && exchange.streamedAttempt == null) {
            respond(exchange, ProxyResponse.ok(result.body()));
        }
        boolean requestEnded = exchange.responded || exchange.streamedAttempt != null;
        if (result.outcome() != Outcome.OK && result.outcome() != Outcome.CANCELLED) {
            log.line(Kind.ATTEMPT, "attempt " + attempt.number + " of " + exchange.request.id() + " at "
                    + attempt.server + ": " + result.outcome() + " after " + elapsedUs + " us");
        }
        notifyModule(exchange, () -> balancer.outcome(clock.nowUs(), exchange.request.id(), attempt.number,
                attempt.server, result.outcome(), elapsedUs, requestEnded, result.report()));
        removeIfFinished(exchange);
    }

    /**
     * Starts to stream the response of an attempt to the client, because it is too long or too slow to be
     * buffered.
     *
     * @return the sink for the parts of the response; null if the request already has a response
     */
    private ResponseSink startStream(Exchange exchange, Attempt attempt, long contentLength,
            Runnable resumeReading) {
        if (exchange.responded || exchange.streamedAttempt != null) {
            return null;
        }
        exchange.streamedAttempt = attempt;
        exchange.streamStartedAtUs = clock.nowUs();
        if (exchange.fallbackTimer != null) {
            exchange.fallbackTimer.cancel(false);
        }
        exchange.sink = exchange.responder.startStream(contentLength, resumeReading);
        notifyModule(exchange, () -> balancer.streamStarted(clock.nowUs(), exchange.request.id(),
                attempt.number, attempt.server, exchange.streamStartedAtUs - attempt.sentAtUs));
        return exchange.sink;
    }

    /**
     * Reports an event to the module, after all earlier ones. The module must not be called from within one
     * of its actions, so an event that an action causes directly is queued until the module has returned.
     *
     * @param exchange the request that the event concerns, or null; it fails if the module throws
     */
    private void notifyModule(Exchange exchange, Runnable delivery) {
        notifyModuleOrRecover(delivery, () -> {
            if (exchange != null) {
                failAfterError(exchange);
            }
        });
    }

    /**
     * Reports an event to the module, after all earlier ones.
     *
     * @param recovery settles what is owed if the module throws
     */
    private void notifyModuleOrRecover(Runnable delivery, Runnable recovery) {
        events.add(new ModuleEvent(delivery, recovery));
        if (moduleRunning) {
            return;
        }
        moduleRunning = true;
        try {
            for (ModuleEvent event = events.poll(); event != null; event = events.poll()) {
                FailureIsolation.run(log, "the decision module", event.delivery(), event.recovery());
            }
        } finally {
            moduleRunning = false;
        }
    }

    // ---- actions of the module

    @Override
    public void send(String id, String server, long timeoutUs) {
        long nowUs = clock.nowUs();
        Exchange exchange = exchanges.get(id);
        Backend backend = backends.find(server);
        if (exchange == null) {
            log.line(Kind.ATTEMPT, "the decision module asked to send request " + id + " to " + server
                    + ", but no such request is open; nothing is sent");
            return;
        }
        if (!exchange.attempts.isEmpty()) {
            metrics.retrySent();
            log.line(Kind.ATTEMPT,
                    "request " + id + " is sent again, to " + server + exchange.describeAttempts()
                            + exchange.responder.describeClient());
        }
        Attempt attempt = new Attempt(exchange.attempts.size(), server, nowUs);
        exchange.attempts.add(attempt);
        long timeLeftUs = exchange.deadlineUs - nowUs;
        long attemptTimeoutUs = timeoutUs == 0 ? timeLeftUs : Math.min(timeoutUs, timeLeftUs);
        if (backend == null || exchange.responded || exchange.streamedAttempt != null || attemptTimeoutUs <= 0
                || attempt.number >= maxAttempts) {
            loop.execute(() -> onAttemptEnd(exchange, attempt, Result.withoutBody(Outcome.NOT_SENT)));
            return;
        }
        sendAttempt(exchange, attempt, backend, nowUs + attemptTimeoutUs);
    }

    /**
     * Gives an attempt to the pool. Its connection may be established late, so {@link #mayWrite} is asked
     * just before it is written. If nobody can tell then whether the client is still connected, the attempt
     * is given to the pool again in a moment.
     */
    private void sendAttempt(Exchange exchange, Attempt attempt, Backend backend, long attemptDeadlineUs) {
        if (attempt.cancelled) {
            onAttemptEnd(exchange, attempt, Result.withoutBody(Outcome.CANCELLED));
            return;
        }
        attempt.deferred = false;
        long timeoutUs = Math.max(0, attemptDeadlineUs - clock.nowUs());
        attempt.handle = backends.send(backend,
                new OutgoingRequest(
                        () -> buildCheckedMessage(exchange, attempt, backend, attemptDeadlineUs),
                        exchange.request.body(),
                        () -> mayWrite(exchange, attempt, backend, attemptDeadlineUs),
                        () -> {
                            attempt.written = true;
                            metrics.attemptSent();
                        },
                        exchange.incomplete ? BackendPool.NO_TIMEOUT : timeoutUs, Outcome.TIMEOUT),
                new BackendPool.Listener() {
                    @Override
                    public ResponseSink openSink(long contentLength, Runnable resumeReading) {
                        return startStream(exchange, attempt, contentLength, resumeReading);
                    }

                    @Override
                    public void done(Result result) {
                        if (attempt.deferred && result.outcome() == Outcome.NOT_SENT) {
                            loop.schedule(FailureIsolation.isolated(log, "a deferred attempt",
                                    () -> sendAttempt(exchange, attempt, backend, attemptDeadlineUs),
                                    () -> failAfterError(exchange)),
                                    ClientPresence.SETTLE_TIME_US, TimeUnit.MICROSECONDS);
                        } else {
                            onAttemptEnd(exchange, attempt, result);
                        }
                    }
                });
    }

    /**
     * Whether an attempt may be written now. The client is asked for first, as a close that is found then
     * ends the request.
     */
    private boolean mayWrite(Exchange exchange, Attempt attempt, Backend backend, long attemptDeadlineUs) {
        ClientPresence.Status client = exchange.responder.clientStatus();
        boolean open = !exchange.responded && exchange.streamedAttempt == null;
        boolean undecided = client == ClientPresence.Status.UNDECIDED;
        if (open && undecided && clock.nowUs() < attemptDeadlineUs) {
            attempt.deferred = true;
            guard.recordDeferred();
            return false;
        }
        if (open && (undecided || client == ClientPresence.Status.UNKNOWN)) {
            guard.recordClientUnknown();
            endForUnknownClient(exchange, attempt);
            return false;
        }
        return guard.mayWrite(new WriteConditions(!open, client == ClientPresence.Status.PRESENT,
                backend.available, exchange.request.body().canBeSent(),
                balancer.maySend(clock.nowUs(), exchange.request.id(), attempt.number)))
                && claimId(exchange);
    }

    /** Ends a request that cannot be sent because its client may have left, unless it is out elsewhere. */
    private void endForUnknownClient(Exchange exchange, Attempt unsent) {
        if (exchange.hasOthersInFlight(unsent)) {
            return;
        }
        log.line(Kind.REQUEST, "request " + exchange.request.id()
                + " is ended: nobody can tell whether its client is still connected"
                + exchange.describeAttempts() + exchange.responder.describeClient());
        respond(exchange, exchange.othersMayHaveRun(unsent) ? ProxyResponse.failed()
                : ProxyResponse.refused(0));
    }

    /** Builds the message of an attempt that is about to be written, after the guard's check of the rules. */
    private HttpRequest buildCheckedMessage(Exchange exchange, Attempt attempt, Backend backend,
            long attemptDeadlineUs) {
        long nowUs = clock.nowUs();
        boolean othersMayHaveRun = exchange.othersMayHaveRun(attempt);
        guard.checkWritten(new SendGuard.Attempt(exchange.request.id(), attempt.server,
                backend.unavailableForUs(nowUs), classes.get(exchange.request.requestClass()).effect(),
                othersMayHaveRun, attempt.number + 1, attemptDeadlineUs - nowUs,
                exchange.deadlineUs + RESPONSE_MARGIN_US - nowUs));
        return BackendMessages.forAttempt(exchange.request, attemptDeadlineUs - clock.nowUs());
    }

    SendGuard guard() {
        return guard;
    }

    private boolean mayProbe(Backend backend) {
        return backend.available && !balancer.isDisabled(backend.target.id());
    }

    @Override
    public void reportGiveUp(String id, GiveUpReason reason) {
        metrics.requestGivenUp(reason);
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            log.line(Kind.REQUEST, "request " + id + " is given up: " + reason + exchange.describeAttempts()
                    + exchange.responder.describeClient());
        }
    }

    @Override
    public void refuse(String id, long retryAfterUs) {
        respondIfPending(id, ProxyResponse.refused(retryAfterUs));
    }

    @Override
    public void fail(String id) {
        respondIfPending(id, ProxyResponse.failed());
    }

    private void respondIfPending(String id, ProxyResponse response) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.responded && exchange.streamedAttempt == null) {
            respond(exchange, response);
            removeIfFinished(exchange);
        }
    }

    @Override
    public void cancel(String id, int attemptNumber) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && attemptNumber < exchange.attempts.size()) {
            exchange.attempts.get(attemptNumber).cancel();
        }
    }

    @Override
    public void closeIdle(String server) {
        backends.closeIdle(server);
    }

    @Override
    public void probe(String server) {
        Backend backend = backends.find(server);
        if (backend == null) {
            return;
        }
        long sentAtUs = clock.nowUs();
        backends.send(backend, new OutgoingRequest(BackendMessages::forProbe, () -> mayProbe(backend),
                () -> { }, PROBE_TIMEOUT_US, Outcome.TIMEOUT), result -> notifyModule(null, () -> {
                    long nowUs = clock.nowUs();
                    balancer.probeResult(nowUs, server, result.outcome(), nowUs - sentAtUs,
                            loadReport(result));
                }));
    }

    private static LoadReport loadReport(Result result) {
        return result.report() != null || result.body() == null ? result.report()
                : LoadReportParser.parse(new String(result.body(), StandardCharsets.UTF_8));
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(() -> notifyModuleOrRecover(() -> balancer.timer(clock.nowUs()),
                () -> wakeAt(clock.nowUs() + TIMER_RETRY_DELAY_US)),
                Math.max(0, atUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }

    @Override
    public void watchServers() {
        discovery.ensureWatching();
    }

    @Override
    public void log(String text) {
        log.line(Kind.MODULE, text);
    }

    // ---- state of requests

    /** Sends the final response, which must be the only one. */
    private void respond(Exchange exchange, ProxyResponse response) {
        metrics.requestEnded(exchange.request.requestClass(), response.category());
        noteLateness(exchange);
        markResponded(exchange);
        FailureIsolation.run(log, "the response to a client", () -> exchange.responder.respond(response),
                () -> abortConnection(exchange));
    }

    private void noteLateness(Exchange exchange) {
        long latenessUs = clock.nowUs() - exchange.deadlineUs - RESPONSE_MARGIN_US;
        if (!exchange.incomplete && latenessUs > 0) {
            metrics.responseLate(latenessUs);
            log.line(Kind.REQUEST, "request " + exchange.request.id() + " is answered " + latenessUs / 1_000
                    + " ms after its client's time" + exchange.describeAttempts());
        }
    }

    private void markResponded(Exchange exchange) {
        exchange.responded = true;
        if (exchange.fallbackTimer != null) {
            exchange.fallbackTimer.cancel(false);
        }
        markComplete(exchange);
        pendingRequests--;
        if (pendingRequests == 0) {
            loop.execute(FailureIsolation.isolated(log, "the end of the last request", () -> {
                if (pendingRequests == 0) {
                    onIdle.run();
                }
            }));
        }
    }

    /** Removes a request once its last attempt has ended, because the module is told of that end too. */
    private void removeIfFinished(Exchange exchange) {
        if (exchange.responded && exchange.attempts.stream().allMatch(a -> a.outcome != null)) {
            exchanges.remove(exchange.request.id(), exchange);
            claims.releaseIfNotRun(exchange);
        }
    }
}
