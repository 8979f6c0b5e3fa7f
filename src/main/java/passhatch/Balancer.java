package passhatch;

import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: its methods report events to the module, and through {@link Actions}
 * the module asks its caller to send, cancel or end something.
 *
 * <p>One instance serves one replica of the proxy. It reads no clock: each event carries the current time in
 * microseconds, of a clock that may start anywhere and never goes back. All durations are in microseconds,
 * too. The first event must be {@link #serversChanged}. An instance is not thread-safe: its caller must not
 * call two methods at once, nor call a method from within an action. The module calls actions only while one
 * of its methods runs. Events about requests, attempts or servers that the module does not know are ignored.
 */
public interface Balancer {

    /** Whether a request may run more than once. */
    enum Effect {
        /** Idempotent: it may run any number of times. */
        SAFE,
        /**
         * Carries an idempotency key, by which the servers of one {@link DedupScope} drop repeats during the
         * deduplication window of its class.
         */
        KEYED,
        /** Not idempotent: it must never run twice. */
        UNSAFE
    }

    /** Which servers share their record of idempotency keys, so that each drops repeats of the others. */
    enum DedupScope {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell, which is a few servers of one zone. */
        CELL
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** The server served the request, or answered the probe. */
        OK(false),
        /** The server responded with an error; the request may have run. */
        ERROR(false),
        /** The server refused the request unprocessed: its queue is full, or it is draining. */
        FULL(true),
        /** No response came in time; the request may have run, or may still be running. */
        TIMEOUT(false),
        /**
         * No connection could be made: the server is down, unreachable, or has no connection left. Nothing
         * was sent.
         */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was in flight; the request may have run. */
        RESET(false),
        /** This proxy cancelled the attempt; the request may have run. */
        CANCELLED(false),
        /** Not sent by this proxy: the request had ended, or its time or its attempts were used up. */
        NOT_SENT(true),
        /** The server found the request itself to be faulty, as any other server would. */
        REJECTED(false);

        /** True where the outcome proves that the request never ran. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** The state of a server as discovery reports it. */
    enum ServerStatus {
        /** It is running and accepts requests. */
        UP,
        /** It finishes the requests it has and accepts no new ones. */
        DRAINING,
        /** It was removed from the list. */
        GONE
    }

    /** What a list of servers contains. */
    enum ListKind {
        /** Only servers whose entry changed since the last list; all others stay as they are. */
        CHANGES,
        /** All servers, as discovery reports them now; servers that are not in it are removed. */
        FULL,
        /** All servers as stored before the proxy restarted; discovery has not confirmed them yet. */
        CACHED
    }

    /**
     * A class of requests. None of its values has a default.
     *
     * @param name appears in log lines only and affects no decision
     * @param latencyGoalUs a response later than this has only {@code lateValueFraction} of the full value;
     *     in microseconds, above 0
     * @param deadlineUs how long a client waits over all its tries, in microseconds; at least
     *     {@code latencyGoalUs}
     * @param value the value of one response, per request or per unit of work; not negative
     * @param lateValueFraction the fraction of the value that is left after the latency goal, 0 to 1
     * @param effect whether a request may run more than once
     * @param dedupScope the servers that drop repeats of a keyed request; not null, but unused for other
     *     effects
     * @param dedupWindowUs how long servers drop repeats of a keyed request, in microseconds from its first
     *     attempt; not negative
     * @param allowedZones the only zones whose servers may get it, at any attempt; null where all may
     * @param allowedMachineTypes the only machine types that may get it, at any attempt; null where all may
     */
    record RequestClass(String name, long latencyGoalUs, long deadlineUs, double value,
            double lateValueFraction, Effect effect, DedupScope dedupScope, long dedupWindowUs,
            Set<Integer> allowedZones, Set<Integer> allowedMachineTypes) {

        /** A class whose requests any server may get. */
        public RequestClass(String name, long latencyGoalUs, long deadlineUs, double value,
                double lateValueFraction, Effect effect, DedupScope dedupScope, long dedupWindowUs) {
            this(name, latencyGoalUs, deadlineUs, value, lateValueFraction, effect, dedupScope, dedupWindowUs,
                    null, null);
        }
    }

    /**
     * A tenant, whose requests count against a quota.
     *
     * @param name for operators; it affects no decision
     * @param quotaPerSecond its quota in requests per second over all replicas of the proxy; 0 for no limit
     */
    record Tenant(String name, double quotaPerSecond) { }

    /**
     * The limits of the deployment.
     *
     * @param maxAttempts attempts per request, at least 1
     * @param cancel whether attempts may be cancelled
     * @param probes whether servers may be probed for their load
     * @param maxRetryAfterUs the longest retry-after that clients honour, in microseconds; 0 where they
     *     honour none
     * @param callsPerConnection requests in flight that one connection carries, at least 1
     * @param keepaliveUs how long an idle connection stays open, in microseconds; 0 where idle connections
     *     are closed or the time is not known
     * @param hedging whether a request may have two attempts in flight at once
     */
    record Limits(int maxAttempts, boolean cancel, boolean probes, long maxRetryAfterUs,
            int callsPerConnection, long keepaliveUs, boolean hedging) {

        /** Limits with hedging allowed and an unknown keep-alive time. */
        public Limits(int maxAttempts, boolean cancel, boolean probes, long maxRetryAfterUs,
                int callsPerConnection) {
            this(maxAttempts, cancel, probes, maxRetryAfterUs, callsPerConnection, 0, true);
        }
    }

    /**
     * The rules on draining servers, on discovery and on the warm-up of servers that have just started.
     *
     * @param drainGraceUs how long after the report that a server drains or is gone it may still be sent
     *     requests, in microseconds
     * @param maxDiscoveryIntervalUs longest time between two calls to discovery where it must be asked for
     *     changes, in microseconds; 0 where there is no such limit
     * @param coldFrom the fraction of its capacity that a server has at its start; above 0, at most 1
     * @param coldUs how long a server's warm-up takes at most, in microseconds
     * @param tipMultiple a server in its warm-up that gets more than this multiple of its present capacity
     *     becomes overloaded and fails
     * @param overloadForUs how long a server must get that much before it fails, in microseconds
     * @param closeWithinUs how soon idle connections to a draining server must be closed, in microseconds; 0
     *     where they may stay open
     */
    record Rules(long drainGraceUs, long maxDiscoveryIntervalUs, double coldFrom, long coldUs,
            double tipMultiple, long overloadForUs, long closeWithinUs) {

        /** Rules under which idle connections to a draining server may stay open. */
        public Rules(long drainGraceUs, long maxDiscoveryIntervalUs, double coldFrom, long coldUs,
                double tipMultiple, long overloadForUs) {
            this(drainGraceUs, maxDiscoveryIntervalUs, coldFrom, coldUs, tipMultiple, overloadForUs, 0);
        }
    }

    /**
     * Prices, as fractions of the value of all requests.
     *
     * @param probe the price of sending one probe for each request
     * @param crossZone the price of sending one attempt for each request to another zone
     */
    record Prices(double probe, double crossZone) { }

    /**
     * The settings of one instance, fixed at its start. {@link SettingsBuilder} sets them by name and has
     * defaults; the constructor of {@link LeastLoadedBalancer} checks them.
     *
     * @param classes the classes of requests, at least one; requests refer to them by index
     * @param tenants the tenants; requests refer to them by index; empty where there are none
     * @param limits the limits of the deployment
     * @param rules the rules on draining, discovery and warm-up
     * @param prices the prices of probes and of attempts in other zones
     * @param replicas replicas of the proxy that send to the same tier, this one included; at least 1
     * @param replicaIndex the index of this replica among them, from 0
     * @param tier the index of the tier that this instance sends to, from 0
     * @param tiers the number of tiers, at least 1
     * @param zone the zone that this instance runs in
     * @param watch true where discovery reports changes only after {@link Actions#watchServers}; false where
     *     it pushes them unasked
     * @param overQuotaValueFraction the fraction of the value that a request beyond its tenant's quota has,
     *     0 to 1
     * @param tickUs the shortest time between two events of this instance, in microseconds; at least 1
     */
    record Settings(List<RequestClass> classes, List<Tenant> tenants, Limits limits, Rules rules,
            Prices prices, int replicas, int replicaIndex, int tier, int tiers, int zone, boolean watch,
            double overQuotaValueFraction, long tickUs) { }

    /**
     * An entry of a list of servers.
     *
     * @param id the server's name; it has no further meaning and stays the same when its process restarts
     * @param startedAtUs when its process last started, in microseconds on the clock of the events; 0 or less
     *     where that was long ago, so that it needs no warm-up
     * @param zone the zone it runs in
     * @param cell the cell of its zone with which it shares its record of idempotency keys
     * @param status whether it may be sent new requests
     * @param machineType its machine type, to which classes of requests may be restricted
     */
    record Server(String id, long startedAtUs, int zone, int cell, ServerStatus status, int machineType) {

        /** A server where there is only one machine type. */
        public Server(String id, long startedAtUs, int zone, int cell, ServerStatus status) {
            this(id, startedAtUs, zone, cell, status, 0);
        }
    }

    /**
     * A request received from a client.
     *
     * @param id unique; never used again, not even for another try of the same client
     * @param requestClass the index of its class in the settings
     * @param tenant the index of its tenant in the settings; the number of tenants where it has none
     * @param timeLeftUs time until the client gives up this try, in microseconds
     * @param expectedWorkUs the expected work on a standard core, in microseconds; 0 where unknown
     * @param clientRetry true where the client marked it as a retry
     * @param incomplete true while its body is still being received: its time counts only from
     *     {@link Balancer#requestComplete}, which must follow unless the request ends before
     */
    record Request(String id, int requestClass, int tenant, long timeLeftUs, long expectedWorkUs,
            boolean clientRetry, boolean incomplete) {

        /** A complete request. */
        public Request(String id, int requestClass, int tenant, long timeLeftUs, long expectedWorkUs,
                boolean clientRetry) {
            this(id, requestClass, tenant, timeLeftUs, expectedWorkUs, clientRetry, false);
        }
    }

    /**
     * A server's own report of its load; a value is -1 where the server does not report it.
     *
     * @param inFlight requests that it has accepted and not yet answered
     * @param queue requests among these that wait in its queue
     * @param utilisation the fraction of its capacity in use, 0 to 1
     */
    record LoadReport(double inFlight, double queue, double utilisation) { }

    /** How a call to discovery failed. */
    enum DiscoveryFailure {
        /** Discovery refused it: the service behind its front end is down, or it has too many callers. */
        REFUSED,
        /** The connection was not made or broke, or no response came. */
        UNANSWERED
    }

    /** Why the module ends a request without a response from a server. */
    enum GiveUpReason {
        /** Its client would give up before any server could respond. */
        NO_TIME,
        /** It exceeds its tenant's quota, and no server is idle. */
        BEYOND_SHARE,
        /** A server found the request itself to be faulty. */
        REJECTED,
        /** An attempt may have run, and its class or its deduplication window allows no other. */
        MAY_HAVE_RUN,
        /** It has had as many attempts as the deployment allows. */
        ATTEMPTS_USED,
        /** Its body was passed on to a server and is no longer buffered, so it cannot be sent again. */
        BODY_NOT_HELD,
        /** The retry budget is exhausted. */
        RETRY_BUDGET
    }

    /**
     * What the module asks of its caller. Ids of requests and servers are those that events carried. An
     * action must not call the module; what comes of it is reported later, as an event.
     */
    interface Actions {
        /**
         * Sends an attempt. A request's attempts are numbered from 0 in the order of these calls. For each
         * attempt there must be one {@link Balancer#outcome}, also where it is not sent after all.
         *
         * @param timeoutUs time after which the caller ends the attempt with {@link Outcome#TIMEOUT}, in
         *     microseconds; while the request is incomplete, no time-out applies
         */
        void send(String request, String server, long timeoutUs);

        /**
         * Ends a request with a refusal, which tells the client that it may safely try again.
         *
         * @param retryAfterUs how long the client should wait first, in microseconds; 0 for no such advice
         */
        void refuse(String request, long retryAfterUs);

        /** Ends a request with a failure; the client is not told whether the request has run. */
        void fail(String request);

        /**
         * Reports why the next {@link #refuse} or {@link #fail}, which follows at once, ends this request.
         * For metrics and logs only.
         */
        default void reportGiveUp(String request, GiveUpReason reason) { }

        /** Cancels an attempt in flight, whose response is no longer needed. */
        void cancel(String request, int attempt);

        /**
         * Closes the idle connections to a server. An implementation may do nothing where idle connections
         * never need to be closed.
         */
        default void closeIdle(String server) { }

        /** Probes a server for its load; {@link Balancer#probeResult} must follow. */
        void probe(String server);

        /**
         * Asks for a call of {@link Balancer#timer} at or after the given time, in microseconds on the clock
         * of the events. Earlier calls for other times stay valid.
         */
        void wakeAt(long atUs);

        /**
         * Asks discovery to report changes from now on, until the watch breaks or fails, which
         * {@link Balancer#discoveryFailed} reports. Called only where {@link Settings#watch} is true.
         */
        void watchServers();

        /** Writes a line to the operator's log. */
        void log(String text);
    }

    /**
     * Reports the list of servers, or changes to it. This must be the first event of an instance; the list
     * may be empty then. Where {@link Settings#watch} is true, any later list also shows that the watch is
     * established.
     */
    void serversChanged(long nowUs, ListKind kind, List<Server> servers);

    /** Reports that a call to discovery failed or its watch broke; the present list stays valid. */
    void discoveryFailed(long nowUs, DiscoveryFailure failure);

    /**
     * Reports a new request. It must end in exactly one way: by {@link Actions#refuse}, by
     * {@link Actions#fail}, by the response of a server, or by {@link #clientGone}.
     */
    void request(long nowUs, Request request);

    /**
     * Reports that an incomplete request has been received as a whole. Not called for a request that was
     * complete from the start.
     *
     * @param timeLeftUs time until the client gives up this try, in microseconds
     */
    void requestComplete(long nowUs, String request, long timeLeftUs);

    /**
     * Reports that a part of the request's body was sent and is no longer buffered, so that the request
     * cannot be sent again.
     */
    void bodyDiscarded(long nowUs, String request);

    /**
     * Reports that an attempt ended; called once for each attempt, also for one that was cancelled.
     *
     * @param elapsedUs time since the attempt was sent, in microseconds
     * @param requestEnded true where the client has its response, by this outcome or from before, or is gone
     * @param report the server's load, or null where the response carried none
     */
    void outcome(long nowUs, String request, int attempt, String server, Outcome outcome, long elapsedUs,
            boolean requestEnded, LoadReport report);

    /**
     * Reports that a streamed response began and is being passed to the client. The request is committed to
     * this attempt: no other attempt is made, and no time-out applies to it. Its {@link #outcome} follows
     * when the stream ends.
     *
     * @param elapsedUs time since the attempt was sent, in microseconds
     */
    void streamStarted(long nowUs, String request, int attempt, String server, long elapsedUs);

    /** Reports that the client of a request has disconnected; the request is over. */
    void clientGone(long nowUs, String request);

    /**
     * Reports that a probe ended.
     *
     * @param elapsedUs time since the probe was sent, in microseconds
     * @param report the server's load, or null where the probe got none
     */
    void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report);

    /** Reports that a time has come for which {@link Actions#wakeAt} asked; extra calls do no harm. */
    void timer(long nowUs);

    // ---- operators' requests

    /**
     * Whether the server is or was in a list, or is disabled. Of servers that are no longer listed only some
     * thousands are remembered.
     */
    boolean knows(String server);

    /**
     * Disables a server: until {@link #enable} no attempt is sent to it, whatever lists report. Attempts in
     * flight there continue. The server need not be known yet. Has no effect where it is disabled already.
     */
    void disable(long nowUs, String server);

    /**
     * Enables a disabled server, however often it was disabled; it is treated as one that has just started.
     * Has no effect where the server is not disabled.
     */
    void enable(long nowUs, String server);

    /** Whether an operator has disabled the server. */
    boolean isDisabled(String server);

    /**
     * Whether an attempt may still be sent. To be asked just before the attempt is written to its connection,
     * which may have been established late. Changes nothing.
     *
     * @param attempt the number of an attempt that {@link Actions#send} asked for
     * @return false also for requests that are not known
     */
    boolean maySend(long nowUs, String request, int attempt);

    /** Counts the servers. */
    ServerCounts serverCounts(long nowUs);

    /**
     * Counts of servers.
     *
     * @param listed servers in the list, draining ones included
     * @param unavailable those of the listed servers that get no requests now, as they are disabled, ejected
     *     or draining
     */
    record ServerCounts(int listed, int unavailable) { }
}
