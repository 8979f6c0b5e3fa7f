package passhatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The decision module: a load balancer that sends each request to the least loaded server. It also decides
 * when to retry, queue, hedge, refuse or give up a request, and when to eject a server. The types, events and
 * actions are declared in {@link Balancer}.
 *
 * <p>Normally a request goes to an idle server, else to the one with the fewest requests in flight, and among
 * equals to the one assigned least recently; see {@link #isPreferred}. Load counts this replica's own
 * requests, or those of all replicas where the server reported its load. The rest of the class handles
 * failures and limits.
 *
 * <p>A {@link Call} is a request held by this replica. All times and durations are in microseconds, on the
 * clock of the {@code nowUs} parameters. A time of {@link Long#MIN_VALUE} means never,
 * {@link Long#MAX_VALUE} means that nothing is scheduled. Fields that hold means or fractions of the latest
 * values are exponentially weighted moving averages.
 */
public final class LeastLoadedBalancer implements Balancer {

    /**
     * Failed or reset connections in a row after which a server is ejected: one may be chance, the second
     * confirms it.
     */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;
    /**
     * A server is taken to be down where a streak of failures as long as its own has less than this
     * probability by chance, at the failure rate of the other servers.
     */
    private static final double FAILURE_STREAK_SIGNIFICANCE = 0.001;
    /**
     * Duration of a first ejection, in microseconds: a few attempts a minute at a failed server do no harm,
     * and a restart takes some seconds. Load reports found wrong are first ignored for this long, a server
     * stays degraded for this long after a failure, and a latency sample counts as recent for this long.
     */
    private static final long BASE_EJECTION_US = 3_000_000;
    /**
     * Calls to discovery that are tried within {@link Rules#maxDiscoveryIntervalUs}, after which the proxy is
     * taken to know changes that it did not ask for.
     */
    private static final int DISCOVERY_CALLS_PER_INTERVAL = 4;
    /**
     * Maximum cost of probes over all tiers, as a fraction of the value of all requests. No probes are sent
     * where two for each request would cost more.
     */
    private static final double MAX_PROBE_COST_FRACTION = 0.02;
    /** Probes sent at a time for a call: one may be lost or slow, and more than two are mostly wasted. */
    private static final int MAX_PROBES_PER_ROUND = 2;
    /** While servers report fewer calls in flight than this on average, one probe at a time is enough. */
    private static final double LIGHT_LOAD_IN_FLIGHT = 0.25;
    /** Rounds of probes for a call before it goes to the best server known. */
    private static final int MAX_PROBE_ROUNDS = 3;
    /** Calls wait for probes only while a probe takes at most this fraction of their latency goal. */
    private static final double MAX_PROBE_FRACTION_OF_GOAL = 0.02;
    /**
     * The response to a probe is overdue after this multiple of the mean time of probes. The report of an
     * idle server is valid for as long. After a failed probe a server is degraded for this multiple of the
     * typical service time.
     */
    private static final double PROBE_OVERDUE_MULTIPLE = 3;
    /**
     * The report of a busy server is valid for this fraction of the typical service time of each call that
     * it reported: most of that work is still to do then. A server that rejected a call as full counts as
     * full for this fraction of one service time, and queued calls are checked as often.
     */
    private static final double BUSY_REPORT_VALIDITY_FRACTION = 0.25;
    /**
     * Weight of a call's expected work in excess of the mean, and of its own work in its expected latency:
     * cost hints may be wrong, and not all of the latency is work.
     */
    private static final double EXPECTED_WORK_WEIGHT = 0.5;
    /**
     * A server that is not idle gets a call only where the expected latency is at most this fraction of the
     * call's time left: the latency may be far above its mean.
     */
    private static final double MAX_FRACTION_OF_TIME_LEFT = 0.36;
    /**
     * Calls of high value may be expected to take up to this multiple of that fraction, so that calls of the
     * least value are shed first.
     */
    private static final double MAX_PRIORITY_FACTOR = 2;
    /**
     * Calls that all replicas sharing a server may together always have in flight there: they keep some of
     * its cores busy.
     */
    private static final double MIN_CONCURRENCY_PER_SERVER = 4;
    /**
     * Beyond that number calls are sent only while the expected latency is at most this multiple of the
     * latency without congestion.
     */
    private static final double MAX_LATENCY_TO_BASELINE = 2.3;
    /**
     * Classes whose value is at most this multiple of the least value get no priority: they may be half of
     * all traffic.
     */
    private static final double PRIORITY_VALUE_RATIO = 4;
    /** An idle server is assigned at most this many times as seldom, or as often, as a typical one. */
    private static final double MAX_SLOWDOWN = 20;
    /** Fraction of the load that would overload a cold server that all replicas together may send to it. */
    private static final double SLOW_START_SAFETY_FACTOR = 0.5;
    /**
     * A queued call must have this multiple of a typical service time left: of calls sent with just one
     * service time left, half would be late.
     */
    private static final double QUEUED_CALL_TIME_MULTIPLE = 1.4;
    /**
     * Maximum number of times that an ejection, or the time for which load reports are ignored, is doubled;
     * each further failure doubles it once.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** An attempt is overdue after this multiple of its expected latency, as latencies vary widely. */
    private static final double CALL_OVERDUE_MULTIPLE = 5;
    /**
     * Overdue attempts in a row after which a server is ejected. Overdue attempts and unanswered probes
     * count as at most this many calls in flight when servers are compared.
     */
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 2;
    /**
     * Rounds ({@link #rotationUs}) by which the next turn of a server in another zone is delayed: local
     * servers come first.
     */
    private static final double OTHER_ZONE_DELAY_ROUNDS = 1;
    /** Weight of the newest outcome, 0 to 1, in the moving averages of errors and of failed connects. */
    private static final double ERROR_EWMA_WEIGHT = 0.2;
    /**
     * Fraction of failed connects above which connected servers are preferred. One failed connect keeps the
     * average above it for the next ten outcomes.
     */
    private static final double CONNECT_FAILURE_THRESHOLD = 0.02;
    /**
     * Fraction of errors among its outcomes above which a server may be ejected. Above the same fraction of
     * wrong load reports, all reports are ignored for a while.
     */
    private static final double ERROR_RATE_THRESHOLD = 0.35;
    /**
     * To be ejected for errors, a server's error rate must also exceed the others' by this many standard
     * deviations: one streak of errors in thousands does so by chance.
     */
    private static final double ERROR_OUTLIER_DEVIATIONS = 4;
    /**
     * Longest delay of a slow server's next turn, in microseconds: it is tried again then, as it may have
     * recovered.
     */
    private static final double MAX_ASSIGNMENT_DELAY_US = 24_000_000;
    /** Calls assumed to be in flight at a server that rejected a call as full. */
    private static final int FULL_SERVER_IN_FLIGHT = 1000;
    /**
     * Mean number of replicas that share a server. Where a replica knows a server's load only from its own
     * calls, few replicas must share it, so that each sees most of that load. At a mean of 2.32 a server gets
     * at most three, which leaves room for subsets to stay as they are when a server changes.
     */
    private static final double REPLICAS_PER_SERVER = 2.32;
    /** Minimum number of servers in a subset: with fewer, one that is slow or down weighs too much. */
    private static final int MIN_SUBSET_SIZE = 4;
    /**
     * The same where servers report their load: enough to find an idle server, few enough to rank for each
     * call.
     */
    private static final int MIN_PROBED_SUBSET_SIZE = 24;
    /**
     * A server that an operator enabled again gets its first call within this time, in microseconds, where
     * any call may go there.
     */
    private static final long MAX_REENABLED_DELAY_US = 2_000_000;
    /** Queued calls of a class that may decline a server before the class's older calls are skipped. */
    private static final int MAX_DECLINED_OFFERS = 3;

    /** Which of the servers that a call may go to are considered for it. */
    private enum CandidateFilter {
        /** Those that are expected to answer the call in time. */
        HAS_CAPACITY,
        /** Those that reported just now that they are idle. */
        REPORTED_IDLE,
        /** Those without a valid load report and without a probe in flight. */
        NO_REPORT
    }

    private final Settings settings;
    private final Actions actions;
    private final OperatorLog operatorLog;
    private final SplittableRandom random;
    /** Servers by id: those listed, and those not listed any more that still have calls in flight. */
    private final Map<String, ServerState> serversById = new HashMap<>();
    /** The servers that are up by the latest list. */
    private final Set<ServerState> servers = new LinkedHashSet<>();
    /**
     * The subset of the local servers and that of servers in other zones. Where crossing zones has no price,
     * all servers count as local.
     */
    private final List<Subsetting> subsets;
    private final ServerNames serverNames = new ServerNames();
    private final ServerStarts serverStarts = new ServerStarts();
    /** Whether a listed server was enabled by an operator and no call has reached it since. */
    private boolean anyReenabled;
    /** Calls by the id of their request, from their arrival until their last attempt ends. */
    private final Map<String, Call> callsById = new HashMap<>();
    /** Requests received so far; numbers them in the order of arrival. */
    private long requestCount;
    /** Calls for which no server has capacity now, and aside from these the calls that wait for probes. */
    private final CallQueue queue;
    /** Servers that were probed, the earliest probed first; some have responded since. */
    private final ArrayDeque<ServerState> probedServers = new ArrayDeque<>();
    /** When all queued calls were last checked. */
    private long lastQueueCheckUs = Long.MIN_VALUE;
    /** When all queued calls are checked next. */
    private long nextQueueCheckUs = Long.MIN_VALUE;
    /** Attempts whose request is complete, in the order of sending, to find those that are overdue. */
    private final ArrayDeque<Attempt> sentAttempts = new ArrayDeque<>();
    /** Fraction of errors and resets among the latest responses of all servers. */
    private double overallErrorRate;
    /** Fraction of the latest reports of idle servers that the outcomes of calls proved wrong. */
    private double refutedReportRate;
    /** Load reports are not used before this time. */
    private long reportsIgnoredUntilUs = Long.MIN_VALUE;
    /** How often load reports were found wrong too often and ignored for a while. */
    private int reportDistrustPeriods;
    /** Fraction of failed connects among the latest outcomes of all servers. */
    private double connectFailureRate;
    /** The shortest latency goal of all classes, in microseconds. */
    private final double minLatencyGoalUs;
    /** The least value of a request of any class. */
    private final double minValue;
    private final RetryBudget retryBudget = new RetryBudget();
    private final AttemptRules attemptRules;
    /** The time of the earliest wake-up that is scheduled. */
    private long wakeAtUs = Long.MAX_VALUE;
    /** Whether the first list of servers has been received. */
    private boolean listReceived;
    /** Whether discovery is watched: a list has followed the first one, and no call has failed since. */
    private boolean watchingDiscovery;
    /** When discovery is called next. */
    private long nextDiscoveryCallUs = Long.MAX_VALUE;
    private final DiscoveryBackoff discoveryBackoff;
    /** Probes that their price allows for each call; 0 where no probes are sent. */
    private final double probesPerCall;
    /** Probes that may be sent now: a token bucket that each request fills by {@link #probesPerCall}. */
    private double probeBalance;
    /** Mean time until a probe is answered, in microseconds. */
    private double meanProbeUs;
    /**
     * Mean number of calls in flight that servers reported; assumed for servers without a valid report.
     */
    private double meanReportedInFlight;
    private final LatencyEstimator latencyEstimator = new LatencyEstimator();
    /** Mean expected work of requests that state it, in microseconds on a standard core. */
    private double meanExpectedWorkUs;
    /** Time that the client of the latest first try allowed for it, in microseconds. */
    private double firstTryTimeoutUs;
    private final TenantQuotas tenantQuotas;
    /** Mean time between two attempts of this replica, in microseconds; 0 while unknown. */
    private double meanSendIntervalUs;
    private long lastSendAtUs = Long.MIN_VALUE;

    /**
     * Creates a balancer that knows no server yet.
     *
     * @param settings what the deployment allows and asks for
     * @param seed seed of the random numbers that spread the decisions of the replicas
     * @param actions what carries out the decisions; not null
     * @throws IllegalArgumentException where a setting is missing or contradicts another; it names the
     *     setting
     * @throws NullPointerException where {@code actions} is null
     */
    public LeastLoadedBalancer(Settings settings, long seed, Actions actions) {
        SettingsCheck.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions");
        this.operatorLog = new OperatorLog(actions);
        this.attemptRules = new AttemptRules(settings.limits().maxAttempts());
        this.random = new SplittableRandom(seed);
        this.subsets = List.of(new Subsetting(settings.replicaIndex(), settings.replicas()),
                new Subsetting(settings.replicaIndex(), settings.replicas()));
        this.discoveryBackoff =
                new DiscoveryBackoff(settings.rules().maxDiscoveryIntervalUs() / DISCOVERY_CALLS_PER_INTERVAL,
                        random);
        this.queue = new CallQueue(settings.classes().size());
        this.tenantQuotas = new TenantQuotas(settings.tenants().size());
        this.minLatencyGoalUs = settings.classes().stream().mapToLong(RequestClass::latencyGoalUs).min()
                .orElseThrow();
        this.minValue = settings.classes().stream().mapToDouble(RequestClass::value).min().orElseThrow();
        double probePrice = settings.prices().probe() * settings.tiers();
        double affordableProbesPerCall = probePrice > 0 ? MAX_PROBE_COST_FRACTION / probePrice
                : MAX_PROBES_PER_ROUND * MAX_PROBE_ROUNDS;
        this.probesPerCall = settings.limits().probes() && affordableProbesPerCall >= MAX_PROBES_PER_ROUND
                ? Math.min(affordableProbesPerCall, MAX_PROBES_PER_ROUND * MAX_PROBE_ROUNDS) : 0;
        this.probeBalance = probesPerCall * MAX_PROBE_ROUNDS;
        this.meanProbeUs = settings.tickUs();
    }

    // ---- the list of servers

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> serverList) {
        if (kind != ListKind.CHANGES) {
            servers.forEach(server -> server.up = false);
            serverNames.listed.clear();
        }
        Set<ServerState> affected = new LinkedHashSet<>(kind == ListKind.CHANGES ? List.of() : servers);
        for (Server entry : serverList) {
            serverNames.update(entry);
            updateServer(nowUs, entry, affected);
        }
        updateSubsets(nowUs, affected);
        if (kind != ListKind.CACHED) {
            serverStarts.listReceived(nowUs);
        }
        if (!listReceived) {
            listReceived = true;
            nextDiscoveryCallUs = settings.watch() ? nowUs : Long.MAX_VALUE;
        } else if (settings.watch()) {
            watchingDiscovery = true;
            discoveryBackoff.reset();
            nextDiscoveryCallUs = Long.MAX_VALUE;
        }
        nextQueueCheckUs = nowUs;
        processDueWork(nowUs, null);
    }

    /**
     * Takes in an entry of a list of servers. A server with a new start time or zone is tracked as a new one.
     *
     * @param affected servers whose listing may have changed; the server is added to these
     */
    private void updateServer(long nowUs, Server entry, Set<ServerState> affected) {
        ServerState server = serversById.get(entry.id());
        if (server != null) {
            affected.add(server);
            server.up = false;
            server.draining = entry.status() == ServerStatus.DRAINING;
        }
        if (entry.status() != ServerStatus.UP) {
            if (entry.status() == ServerStatus.DRAINING) {
                closeIdleConnections(entry.id());
            }
            return;
        }
        if (server == null || entry.startedAtUs() != server.startedAtUs || entry.zone() != server.zone) {
            server = new ServerState(entry.id());
            server.startedAtUs = entry.startedAtUs();
            server.warmUpStartUs = serverStarts.startTimeUs(nowUs, entry);
            server.disabled = serverNames.disabled.contains(server.id);
            server.zone = entry.zone();
            server.lastAssignedVirtualUs = zoneDelayRounds(server) > 0
                    ? nowUs + (long) (random.nextDouble() * rotationUs(nowUs) * zoneDelayRounds(server))
                    : Long.MIN_VALUE + random.nextLong(1L << 32);
            serversById.put(server.id, server);
            affected.add(server);
        }
        server.cell = entry.cell();
        server.machineType = entry.machineType();
        server.up = true;
    }

    /** Updates the listed servers and the subsets after a list changed the state of these servers. */
    private void updateSubsets(long nowUs, Set<ServerState> affected) {
        affected.removeIf(server -> server.up == server.listed);
        for (ServerState server : affected) {
            server.listed = server.up;
            if (server.listed) {
                servers.add(server);
            } else {
                servers.remove(server);
                removeIfUnused(server);
            }
        }
        for (int index = 0; index < subsets.size(); index++) {
            List<ServerState> removed = new ArrayList<>();
            List<ServerState> added = new ArrayList<>();
            for (ServerState server : affected) {
                if (zoneDelayRounds(server) > 0 == index > 0) {
                    (server.listed ? added : removed).add(server);
                }
            }
            if (!affected.isEmpty()) {
                subsets.get(index).update(removed, added, maxSubsetSize());
            }
        }
        for (ServerState server : affected) {
            if (server.listed && (listReceived || capacityFraction(server, nowUs) < 1)) {
                addToRotation(nowUs, server);
            }
            if (server.listed && serverNames.reenabled.contains(server.id)) {
                scheduleFirstCall(nowUs, server);
            }
        }
    }

    /**
     * Removes a server that is not listed any more once its last call ends. Until then it is kept, as it may
     * be listed again and still has these calls in flight.
     */
    private void removeIfUnused(ServerState server) {
        if (!server.listed && server.inFlight == 0) {
            serversById.remove(server.id, server);
        }
    }

    /** Makes a server that an operator enabled again eligible for its first call soon. */
    private void scheduleFirstCall(long nowUs, ServerState server) {
        server.eligibleFromUs = Math.min(server.eligibleFromUs,
                nowUs + (long) (random.nextDouble() * MAX_REENABLED_DELAY_US));
        server.reenabled = true;
        anyReenabled = true;
    }

    /**
     * Closes the idle connections to a draining server, which would keep it from shutting down. This happens
     * when it starts to drain, and again at each outcome, for connections that were in use until then.
     */
    private void closeIdleConnections(String serverId) {
        if (settings.rules().closeWithinUs() > 0) {
            actions.closeIdle(serverId);
        }
    }

    /**
     * Gives a new server its place in the order of assignment. As the least recently assigned server it would
     * get the next call of every replica at once, so it takes the place of another server chosen at random.
     * While it is cold, only some replicas use it: with many replicas a round of each takes so long that a
     * wait counted in rounds would leave the server without calls.
     */
    private void addToRotation(long nowUs, ServerState server) {
        List<ServerState> members = subsets.get(zoneDelayRounds(server) > 0 ? 1 : 0).members();
        int start = random.nextInt(Math.max(1, members.size()));
        for (int i = 0; i < members.size(); i++) {
            ServerState other = members.get((start + i) % members.size());
            if (other != server) {
                server.lastAssignedVirtualUs = other.lastAssignedVirtualUs;
                break;
            }
        }
        server.eligibleFromUs = Math.min(
                nowUs + (long) (random.nextDouble() * slowStartIntervalUs(server, nowUs)),
                warmEnoughAtUs(server, random.nextDouble()));
    }

    /** When a cold server is warm enough to take this fraction of a typical server's load safely. */
    private long warmEnoughAtUs(ServerState server, double loadFraction) {
        Rules rules = settings.rules();
        double capacityToGain = Math.min(1, loadFraction / (rules.tipMultiple() * SLOW_START_SAFETY_FACTOR))
                - rules.coldFrom();
        return server.warmUpStartUs
                + (long) (Math.max(0, capacityToGain) / (1 - rules.coldFrom()) * rules.coldUs());
    }

    /** The fraction of its capacity, above 0 up to 1, that a server is expected to have during warm-up. */
    private double capacityFraction(ServerState server, long nowUs) {
        Rules rules = settings.rules();
        long ageUs = nowUs - server.warmUpStartUs;
        if (server.warmUpStartUs <= 0 || ageUs >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, ageUs) / rules.coldUs();
    }

    /**
     * Time between two calls of this replica to a cold server (slow start); for a warm one the time of a
     * round. If every replica keeps to it, the server gets no more than a safe fraction of the load that
     * would overload it, assuming that a warm server can handle at least what it is sent now.
     */
    private double slowStartIntervalUs(ServerState server, long nowUs) {
        double safeFraction = capacityFraction(server, nowUs) * settings.rules().tipMultiple()
                * SLOW_START_SAFETY_FACTOR;
        return rotationUs(nowUs) * Math.max(1, 1 / safeFraction);
    }

    /** Time of a round, in which this replica sends one call to each server of its subset. */
    private double rotationUs(long nowUs) {
        return (meanSendIntervalUs > 0 ? meanSendIntervalUs : settings.classes().get(0).latencyGoalUs())
                * Math.max(1, subsetSize(nowUs));
    }

    /**
     * How many servers this replica sends to. Each replica uses a few servers only: where many replicas send
     * to a server and no load reports tell what the others sent, its own calls in flight say nothing about
     * the server's load; and where a connection carries one call at a time, connections of many replicas,
     * even idle ones, use up those that a server accepts. Where load reports are used, the subset is larger,
     * but not all of hundreds of servers, as ranking them for each call costs too much. Other servers
     * replace members that are not available.
     */
    private int subsetSize(long nowUs) {
        return usesLoadReports(nowUs) ? maxSubsetSize() : subsetSizeOfAtLeast(MIN_SUBSET_SIZE);
    }

    /**
     * The number of members that are assigned: the larger one where servers are probed and a connection
     * carries several calls at a time.
     */
    private int maxSubsetSize() {
        boolean usesReports = probesPerCall > 0 && settings.limits().callsPerConnection() > 1;
        return subsetSizeOfAtLeast(usesReports ? MIN_PROBED_SUBSET_SIZE : MIN_SUBSET_SIZE);
    }

    /** The subset's size at {@link #REPLICAS_PER_SERVER}, but at least the given one; at most all servers. */
    private int subsetSizeOfAtLeast(int minSize) {
        int serverCount = servers.size();
        return (int) Math.min(serverCount,
                Math.max(minSize, Math.ceil(REPLICAS_PER_SERVER * serverCount / settings.replicas())));
    }

    /**
     * The server's service time as a multiple of the typical one; 1 where unknown. It delays the next turn of
     * slow servers: idle servers are ordered by their last assignment only, and would otherwise get as many
     * calls when slow as when fast.
     */
    private double relativeServiceTime(ServerState server) {
        return server.loadSum == 0 || latencyEstimator.serviceTimeUs == 0 ? 1
                : Math.min(MAX_SLOWDOWN,
                        Math.max(1 / MAX_SLOWDOWN, server.serviceTimeUs() / latencyEstimator.serviceTimeUs));
    }

    /**
     * Rounds by which a server's next turn is delayed because it is in another zone; 0 for local servers, and
     * for all servers where crossing zones has no price.
     */
    private double zoneDelayRounds(ServerState server) {
        return settings.prices().crossZone() > 0 && server.zone != settings.zone()
                ? OTHER_ZONE_DELAY_ROUNDS : 0;
    }

    @Override
    public void discoveryFailed(long nowUs, DiscoveryFailure failure) {
        watchingDiscovery = false;
        nextDiscoveryCallUs = nowUs + discoveryBackoff.nextDelayUs(failure);
        processDueWork(nowUs, null);
    }

    // ---- requests and their attempts

    @Override
    public void request(long nowUs, Request request) {
        RequestClass requestClass = settings.classes().get(request.requestClass());
        double relativeWork = 1;
        if (request.expectedWorkUs() > 0) {
            meanExpectedWorkUs += (request.expectedWorkUs() - meanExpectedWorkUs)
                    * (meanExpectedWorkUs == 0 ? 1 : LatencyEstimator.EWMA_WEIGHT / 2);
            relativeWork = request.expectedWorkUs() / meanExpectedWorkUs;
        }
        relativeWork = relativeWork > 1 ? 1 + (relativeWork - 1) * EXPECTED_WORK_WEIGHT : relativeWork;
        long maxUsefulLatencyUs = requestClass.lateValueFraction() > 0 ? requestClass.deadlineUs()
                : requestClass.latencyGoalUs();
        if (!request.clientRetry()) {
            firstTryTimeoutUs = request.timeLeftUs();
        } else if (Math.abs(request.timeLeftUs() - firstTryTimeoutUs) > settings.tickUs() * 10) {
            // The latency goal counts from the first try; a last try has all the rest of the client's time.
            maxUsefulLatencyUs -= requestClass.deadlineUs() - request.timeLeftUs();
        }
        Call call = new Call(request, requestClass, requestCount++, nowUs, maxUsefulLatencyUs, relativeWork);
        call.overQuota = exceedsQuota(nowUs, request.tenant());
        callsById.put(request.id(), call);
        retryBudget.deposit();
        probeBalance = Math.min(probeBalance + probesPerCall, probesPerCall * MAX_PROBE_ROUNDS);
        dispatch(nowUs, call);
    }

    /**
     * Whether a request exceeds its tenant's quota, by this replica's part of it. Such a request has little
     * value and is given up while no server is idle, to leave room for others. This applies only in the first
     * tier: in later ones work was already done for the request.
     */
    private boolean exceedsQuota(long nowUs, int tenant) {
        return settings.tier() == 0 && settings.overQuotaValueFraction() < 1
                && tenant < settings.tenants().size()
                && tenantQuotas.exceedsQuota(nowUs, tenant,
                        settings.tenants().get(tenant).quotaPerSecond() / settings.replicas());
    }

    /** Sends the call to the best server, queues it until one has capacity, or gives it up. */
    private void dispatch(long nowUs, Call call) {
        queue.remove(call);
        if (hasTooLittleTime(nowUs, call)) {
            if (!call.wasQueued) {
                latencyEstimator.decayLowServiceTime();
            }
            giveUp(nowUs, call, GiveUpReason.NO_TIME);
            return;
        }
        ServerState reportedIdle = usesLoadReports(nowUs)
                ? pickServer(nowUs, call, CandidateFilter.REPORTED_IDLE) : null;
        ServerState server = reportedIdle != null ? reportedIdle
                : pickServer(nowUs, call, CandidateFilter.HAS_CAPACITY);
        if (reportedIdle == null && probeBeforeSending(nowUs, call)) {
            queue.addAwaitingProbes(call, call.probeWaitUntilUs);
            scheduleWakeUp(call.probeWaitUntilUs);
        } else if (call.overQuota && (server == null || knownInFlight(nowUs, server) > 0)) {
            giveUp(nowUs, call, GiveUpReason.BEYOND_SHARE);
        } else if (server == null) {
            operatorLog.warn(nowUs, call.requestClass.name(),
                    " is queued: every server it may use is overloaded, ejected or warming up");
            call.wasQueued = true;
            call.probeRounds = 0;
            queue.add(call, Math.max(nowUs + 1, call.usefulUntilUs - (long) minLatencyUs(call)));
            nextQueueCheckUs = nextQueueCheckUs > nowUs ? nextQueueCheckUs : queueCheckDueUs(nowUs);
            scheduleWakeUp(Math.min(nextQueueCheckUs, call.dueAtUs));
        } else {
            send(nowUs, call, server);
        }
    }

    /**
     * Probes servers for a call before it is sent, and returns whether the call must wait for responses.
     * Where this replica has few calls in flight, every server looks idle to it, also one that serves other
     * replicas' calls, stalls or is very slow. So the next servers in turn are probed, and the first that
     * reports to be idle gets the call. Used only where probes are cheap and quick.
     */
    private boolean probeBeforeSending(long nowUs, Call call) {
        if (!usesLoadReports(nowUs)
                || meanProbeUs > call.requestClass.latencyGoalUs() * MAX_PROBE_FRACTION_OF_GOAL) {
            return false;
        }
        if (nowUs < call.probeWaitUntilUs && hasProbeInFlight(nowUs)) {
            return true;
        }
        int probesSent = 0;
        int maxProbes = meanReportedInFlight < LIGHT_LOAD_IN_FLIGHT ? 1 : MAX_PROBES_PER_ROUND;
        while (call.probeRounds < MAX_PROBE_ROUNDS && probesSent < maxProbes && probeBalance >= 1) {
            ServerState server = pickServer(nowUs, call, CandidateFilter.NO_REPORT);
            if (server == null) {
                break;
            }
            server.probeSentAtUs = nowUs;
            probedServers.add(server);
            probeBalance--;
            probesSent++;
            actions.probe(server.id);
        }
        call.probeRounds++;
        call.probeWaitUntilUs = nowUs + (long) (PROBE_OVERDUE_MULTIPLE * meanProbeUs) + settings.tickUs();
        return probesSent > 0;
    }

    /** Whether a probe is in flight that is not overdue; forgets those that have ended or are overdue. */
    private boolean hasProbeInFlight(long nowUs) {
        while (!probedServers.isEmpty() && (probedServers.peek().probeSentAtUs == Long.MIN_VALUE
                || nowUs - probedServers.peek().probeSentAtUs
                        >= PROBE_OVERDUE_MULTIPLE * meanProbeUs + settings.tickUs())) {
            probedServers.poll();
        }
        return !probedServers.isEmpty();
    }

    /** Sends an attempt of the call to the server and determines when the server's next turn is. */
    private void send(long nowUs, Call call, ServerState server) {
        if (lastSendAtUs != Long.MIN_VALUE) {
            long intervalUs = nowUs - lastSendAtUs;
            meanSendIntervalUs += (intervalUs - meanSendIntervalUs)
                    * (meanSendIntervalUs == 0 ? 1 : LatencyEstimator.EWMA_WEIGHT);
        }
        lastSendAtUs = nowUs;
        Attempt attempt = new Attempt(call, server, nowUs, knownInFlight(nowUs, server) + call.relativeWork,
                probesPerCall == 0 || server.reportValidUntilUs > nowUs);
        call.attempts.add(attempt);
        if (!call.incomplete) {
            scheduleOverdueCheck(nowUs, attempt);
        }
        call.attemptsInFlight++;
        server.inFlight++;
        double delayUs =
                Math.min(rotationUs(nowUs) * (relativeServiceTime(server) - 1), MAX_ASSIGNMENT_DELAY_US)
                        + rotationUs(nowUs) * zoneDelayRounds(server);
        server.lastAssignedVirtualUs = nowUs + (long) delayUs;
        double slowStartUs = slowStartIntervalUs(server, nowUs);
        if (slowStartUs > rotationUs(nowUs)) {
            server.eligibleFromUs = Math.min(nowUs + (long) (slowStartUs * (0.5 + random.nextDouble())),
                    warmEnoughAtUs(server, 1));
        }
        actions.send(call.request.id(), server.id, call.deadlineUs - nowUs);
    }

    /**
     * Schedules the check for an overdue attempt, counted from the last byte of its request. There is none
     * while the typical service time is unknown.
     */
    private void scheduleOverdueCheck(long nowUs, Attempt attempt) {
        if (latencyEstimator.serviceTimeUs > 0) {
            attempt.overdueAtUs = nowUs
                    + (long) (CALL_OVERDUE_MULTIPLE * latencyEstimator.serviceTimeUs * attempt.loadAtSend);
            sentAttempts.add(attempt);
            scheduleWakeUp(sentAttempts.peek().overdueAtUs);
        }
    }

    @Override
    public void requestComplete(long nowUs, String requestId, long timeLeftUs) {
        Call call = callsById.get(requestId);
        if (call == null || !call.incomplete) {
            return;
        }
        call.incomplete = false;
        call.deadlineUs = nowUs + timeLeftUs;
        call.usefulUntilUs = nowUs + Math.min(timeLeftUs, call.maxUsefulLatencyUs);
        for (Attempt attempt : call.attempts) {
            if (attempt.inFlight) {
                scheduleOverdueCheck(nowUs, attempt);
            }
        }
        if (queue.remove(call)) {
            dispatch(nowUs, call);
        }
        processDueWork(nowUs, null);
    }

    @Override
    public void bodyDiscarded(long nowUs, String requestId) {
        Call call = callsById.get(requestId);
        if (call != null) {
            call.bodyDiscarded = true;
        }
    }

    /**
     * The best server of the subset that this call may use and that passes the filter; null where there is
     * none. If no local server has capacity, those of other zones are considered: traffic that moves to one
     * zone must not be refused while other zones have capacity.
     */
    private ServerState pickServer(long nowUs, Call call, CandidateFilter filter) {
        ServerState best = null;
        int remaining = 0;
        for (Subsetting subset : subsets) {
            List<ServerState> candidates = subset.members();
            if (subset == subsets.get(0) || best == null && filter == CandidateFilter.HAS_CAPACITY) {
                remaining = subsetSize(nowUs) == maxSubsetSize() ? candidates.size() : subsetSize(nowUs);
            }
            for (int i = 0; remaining > 0; i++) {
                if (i == candidates.size()) {
                    candidates = subset.allServers();
                }
                if (i == candidates.size()) {
                    break;
                }
                if (isAvailableFor(nowUs, call, candidates.get(i))) {
                    remaining--;
                    best = betterCandidate(nowUs, call, filter, candidates.get(i), best);
                }
            }
        }
        // An operator who enabled a server expects calls there, so it is considered outside the subset, too.
        for (ServerState server : anyReenabled ? servers : Set.<ServerState>of()) {
            if (server.reenabled && isAvailableFor(nowUs, call, server)) {
                best = betterCandidate(nowUs, call, filter, server, best);
            }
        }
        return best;
    }

    /**
     * The better one of a server, if it passes the filter, and the best server so far, which may be null.
     */
    private ServerState betterCandidate(long nowUs, Call call, CandidateFilter filter, ServerState server,
            ServerState best) {
        boolean matches = switch (filter) {
            case HAS_CAPACITY -> hasCapacityFor(nowUs, call, server);
            case REPORTED_IDLE -> isReportedIdle(nowUs, server);
            case NO_REPORT -> server.probeSentAtUs == Long.MIN_VALUE && server.reportValidUntilUs <= nowUs;
        };
        return matches && (best == null || isPreferred(nowUs, server, best)) ? server : best;
    }

    /** Whether the server has just reported that it is idle, and is not degraded. */
    private boolean isReportedIdle(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs && knownInFlight(nowUs, server) == 0
                && !isDegraded(nowUs, server);
    }

    /** Whether the server is expected to answer the call in time without being overloaded by it. */
    private boolean hasCapacityFor(long nowUs, Call call, ServerState server) {
        // Classes with a long latency goal must not use up the capacity of the others unless their value is
        // higher. Classes of a far higher value may also load a server further, so that under overload those
        // of the least value run out of capacity first. Where such classes were most of the traffic, they
        // would overload the servers.
        double valueRatio = minValue > 0 ? call.requestClass.value() / minValue : 1;
        double priority = Math.max(1, Math.min(valueRatio / PRIORITY_VALUE_RATIO, MAX_PRIORITY_FACTOR));
        double allowedUs = Math.min((call.usefulUntilUs - nowUs) * priority, minLatencyGoalUs * valueRatio);
        // An idle server must get a call now and then, however slow it was, or its recovery would go
        // unnoticed. Without load reports a server that looks idle may be loaded by other replicas, so the
        // latency of its last calls counts for a while.
        boolean idle = estimatedInFlight(nowUs, server) == 0
                && (usesLoadReports(nowUs) || !hasRecentLatencySample(nowUs, server));
        double expectedLatencyUs = expectedLatencyUs(nowUs, call, server);
        return idle || expectedLatencyUs <= allowedUs * MAX_FRACTION_OF_TIME_LEFT
                && !isServerCongested(nowUs, server, expectedLatencyUs);
    }

    /**
     * Whether one more call would only lengthen the server's queue. The latency goal may leave time for many
     * calls, but where latency is far above that without congestion, a longer queue serves none of them
     * sooner, and some servers become slower under overload and stay so. Such calls are queued here, from
     * where they can still go to the first server that has capacity. Where the calls run in parallel on a
     * server's cores, latency stays near the baseline and no call is queued. If all servers are slow because
     * a tier behind them is slow, this cannot be told from congestion: then each replica sends only the
     * first calls ({@link #MIN_CONCURRENCY_PER_SERVER}) to a server.
     */
    private boolean isServerCongested(long nowUs, ServerState server, double expectedLatencyUs) {
        double replicasPerServer = Math.max(1,
                (double) settings.replicas() * subsetSize(nowUs) / servers.size());
        return knownInFlight(nowUs, server) * replicasPerServer >= MIN_CONCURRENCY_PER_SERVER
                && latencyEstimator.isCongested()
                && expectedLatencyUs > latencyEstimator.baselineLatencyUs * MAX_LATENCY_TO_BASELINE;
    }

    /** Whether a call to the server ended so recently that its latency still counts. */
    private static boolean hasRecentLatencySample(long nowUs, ServerState server) {
        return server.lastLatencySampleUs != Long.MIN_VALUE
                && nowUs - server.lastLatencySampleUs < BASE_EJECTION_US;
    }

    /** Whether the server is available now and the call may be sent to it. */
    private static boolean isAvailableFor(long nowUs, Call call, ServerState server) {
        return server.isAvailable(nowUs) && AttemptRules.isEligible(call, server);
    }

    /**
     * How long the server is expected to take for this call. A server too loaded or slow to answer in time
     * does not get the call: late work is wasted and prolongs the overload.
     */
    private double expectedLatencyUs(long nowUs, Call call, ServerState server) {
        double typicalServiceTimeUs = latencyEstimator.serviceTimeUs / capacityFraction(server, nowUs);
        double serviceTimeUs = hasRecentLatencySample(nowUs, server) ? server.serviceTimeUs()
                : server.loadSum > 0 ? Math.min(server.serviceTimeUs(), typicalServiceTimeUs)
                : typicalServiceTimeUs;
        return serviceTimeUs * (estimatedInFlight(nowUs, server) + call.relativeWork * EXPECTED_WORK_WEIGHT);
    }

    /** Calls in flight at the server: this replica's own, or those of all replicas by a valid report. */
    private static int knownInFlight(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs
                ? Math.max(server.inFlight, server.reportedInFlight) : server.inFlight;
    }

    /** The same, but without a valid report at least the mean of what servers reported. */
    private int estimatedInFlight(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs ? knownInFlight(nowUs, server)
                : Math.max(server.inFlight, (int) meanReportedInFlight);
    }

    /** Whether no server can be expected to answer the call while the response is still useful. */
    private boolean hasTooLittleTime(long nowUs, Call call) {
        return nowUs + minLatencyUs(call) > call.usefulUntilUs || nowUs >= call.usefulUntilUs;
    }

    /** The lowest latency to be expected for this call, in microseconds. */
    private double minLatencyUs(Call call) {
        return (call.wasQueued ? latencyEstimator.serviceTimeUs * QUEUED_CALL_TIME_MULTIPLE
                : latencyEstimator.lowServiceTimeUs) * call.relativeWork;
    }

    /**
     * Whether a server is preferred to another. Idle servers that are not degraded come first, then those
     * with the fewest calls in flight; among equals the one that was assigned least recently.
     */
    private boolean isPreferred(long nowUs, ServerState server, ServerState other) {
        int serverLoad = knownInFlight(nowUs, server);
        int otherLoad = knownInFlight(nowUs, other);
        boolean serverIdle = serverLoad == 0 && !isDegraded(nowUs, server);
        boolean otherIdle = otherLoad == 0 && !isDegraded(nowUs, other);
        if (serverIdle != otherIdle) {
            return serverIdle;
        }
        // A server that cannot be reached from here has no calls in flight; it must not attract every call
        // that finds the other servers busy.
        serverLoad += Math.min(MAX_CONSECUTIVE_TIMEOUTS, server.unansweredProbes + server.consecutiveTimeouts)
                + (isSuspected(nowUs, server) ? 1 : 0);
        otherLoad += Math.min(MAX_CONSECUTIVE_TIMEOUTS, other.unansweredProbes + other.consecutiveTimeouts)
                + (isSuspected(nowUs, other) ? 1 : 0);
        if (serverLoad != otherLoad) {
            return serverLoad < otherLoad;
        }
        return server.lastAssignedVirtualUs < other.lastAssignedVirtualUs
                || server.lastAssignedVirtualUs == other.lastAssignedVirtualUs
                        && server.consecutiveFailures < other.consecutiveFailures;
    }

    /**
     * Whether a server is chosen only if all others are busy. This includes a server whose response to a
     * probe is overdue: it was probed because its turn was next, so the call that waited for the probe would
     * go to it, although it stalls or cannot be reached.
     */
    private boolean isDegraded(long nowUs, ServerState server) {
        return server.degradedUntilUs > nowUs || isSuspected(nowUs, server)
                || server.probeSentAtUs != Long.MIN_VALUE
                        && nowUs - server.probeSentAtUs > PROBE_OVERDUE_MULTIPLE * meanProbeUs;
    }

    /**
     * Whether a server is suspected to be unreachable: a call there might need a new connection while
     * connects fail. Where servers accept few connections, are slow to accept them or cannot be reached,
     * calls do best at servers to which this replica is connected. These are preferred then, even with one
     * more call in flight, which also leaves connections for other replicas. One server that is down causes
     * this for some calls. It does not apply at all times, as each replica would keep to a few servers
     * without need.
     */
    private boolean isSuspected(long nowUs, ServerState server) {
        return connectFailureRate > CONNECT_FAILURE_THRESHOLD && server.inFlight == 0
                && server.lastConnectedUs <= nowUs - settings.limits().keepaliveUs();
    }

    /** Whether the call may be sent once more after its attempts so far. */
    private boolean mayRetry(long nowUs, Call call) {
        return attemptRules.reasonNotToRetry(nowUs, call) == null;
    }

    @Override
    public boolean maySend(long nowUs, String requestId, int attemptNumber) {
        Call call = callsById.get(requestId);
        return call != null && AttemptRules.mayWrite(nowUs, call, call.attempts.get(attemptNumber));
    }

    @Override
    public void outcome(long nowUs, String requestId, int attemptNumber, String serverId, Outcome outcome,
            long elapsedUs, boolean requestEnded, LoadReport report) {
        Call call = callsById.get(requestId);
        if (call == null || attemptNumber >= call.attempts.size()
                || !call.attempts.get(attemptNumber).inFlight) {
            return;
        }
        Attempt attempt = call.attempts.get(attemptNumber);
        attempt.inFlight = false;
        attempt.server.inFlight--;
        call.attemptsInFlight--;
        removeIfUnused(attempt.server);
        if (attempt.server.reenabled && (!outcome.provesNotRun || outcome == Outcome.FULL)) {
            attempt.server.reenabled = false;
            serverNames.reenabled.remove(attempt.server.id);
            anyReenabled = servers.stream().anyMatch(server -> server.reenabled);
        }
        if (attempt.server.disabled) {
            actions.closeIdle(attempt.server.id);
        } else if (attempt.server.draining) {
            closeIdleConnections(attempt.server.id);
        }
        recordOutcome(nowUs, attempt.server, outcome);
        if ((outcome == Outcome.OK || outcome == Outcome.TIMEOUT)
                && (attempt.loadKnown || latencyEstimator.serviceTimeUs == 0)) {
            latencyEstimator.add(elapsedUs, attempt.loadAtSend);
            ServerState server = attempt.server;
            server.latencySumUs += elapsedUs - server.latencySumUs * LatencyEstimator.EWMA_WEIGHT;
            server.loadSum += attempt.loadAtSend - server.loadSum * LatencyEstimator.EWMA_WEIGHT;
            server.lastLatencySampleUs = nowUs;
        } else if (outcome == Outcome.FULL) {
            attempt.server.reportedInFlight = FULL_SERVER_IN_FLIGHT;
            attempt.server.reportValidUntilUs = nowUs
                    + (long) (latencyEstimator.serviceTimeUs * BUSY_REPORT_VALIDITY_FRACTION);
        }
        if (attempt.serverReportedIdle()) {
            recordReportAccuracy(nowUs, outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
        }
        attempt.provedNotRun = outcome.provesNotRun;
        if (outcome == Outcome.TIMEOUT && !attempt.overdue) {
            recordTimeout(nowUs, attempt.server);
        }
        if (requestEnded) {
            call.ended = true;
            cancelOtherAttempts(call);
        }
        if (!call.ended && call.attemptsInFlight == 0) {
            retryOrGiveUp(nowUs, call, outcome);
        }
        removeIfUnused(call);
        processDueWork(nowUs, attempt.server);
    }

    /**
     * Records whether the outcome of a call proved a report of an idle server wrong. If servers that have
     * just reported to be idle reject calls as full or do not respond in time, the reports are stale, and
     * using them would send the calls of all replicas to the servers that were idle a while ago. So this
     * replica then ignores load reports for a time and counts its own calls only.
     */
    private void recordReportAccuracy(long nowUs, boolean refuted) {
        refutedReportRate += ERROR_EWMA_WEIGHT * ((refuted ? 1 : 0) - refutedReportRate);
        if (refutedReportRate > ERROR_RATE_THRESHOLD) {
            reportsIgnoredUntilUs = nowUs
                    + (BASE_EJECTION_US << Math.min(reportDistrustPeriods++, MAX_BACKOFF_DOUBLINGS));
            refutedReportRate = 0;
        }
    }

    /** Whether servers are probed for their load and their reports are used now. */
    private boolean usesLoadReports(long nowUs) {
        return probesPerCall > 0 && reportsIgnoredUntilUs <= nowUs;
    }

    /**
     * Updates the error rates and ejects a server that returns errors or resets connections far more often
     * than the others: as it responds at once, it always looks idle and attracts ever more calls. Errors that
     * all servers return alike come from a tier behind them and eject none.
     */
    private void updateErrorRate(long nowUs, ServerState server, boolean error) {
        server.errorRate += ERROR_EWMA_WEIGHT * ((error ? 1 : 0) - server.errorRate);
        overallErrorRate += ERROR_EWMA_WEIGHT * ERROR_EWMA_WEIGHT * ((error ? 1 : 0) - overallErrorRate);
        if (!error) {
            server.errorEjections = server.errorRate < ERROR_RATE_THRESHOLD / 2 ? 0 : server.errorEjections;
        } else if (server.errorRate > ERROR_RATE_THRESHOLD && server.errorRate > 2 * overallErrorRate
                && isErrorOutlier(server) && canEjectAnother(nowUs)) {
            server.ejectedUntilUs = nowUs
                    + (BASE_EJECTION_US << Math.min(server.errorEjections++, MAX_BACKOFF_DOUBLINGS));
            server.errorRate = ERROR_RATE_THRESHOLD;
            operatorLog.warn(nowUs, server.id,
                    " is ejected: it returns errors or resets connections far more often than others");
        }
    }

    /**
     * Whether a server's error rate is too high to be a streak by chance at the error rate of the others.
     * Where every server resets one connection in eight, two resets in a row occur every few seconds: if that
     * were enough, some server would always be ejected, and the others would be overloaded.
     */
    private boolean isErrorOutlier(ServerState server) {
        double otherErrorRates = -server.errorRate;
        for (ServerState other : servers) {
            otherErrorRates += other.errorRate;
        }
        double meanErrorRate = Math.min(1, Math.max(0, otherErrorRates / Math.max(1, servers.size() - 1)));
        double standardDeviation = Math.sqrt(
                meanErrorRate * (1 - meanErrorRate) * ERROR_EWMA_WEIGHT / (2 - ERROR_EWMA_WEIGHT));
        return server.errorRate > meanErrorRate + ERROR_OUTLIER_DEVIATIONS * standardDeviation;
    }

    /**
     * Records an outcome and ejects a server to which connects fail. A connection that was reset had been
     * established, so the server may well be running: it is degraded, but ejected only once a connect to it
     * fails too. A server that resets far more connections than the others is ejected for errors instead.
     * Resets that occur at all servers alike come from the network: if they ejected servers, none would be
     * left. The same holds for connections that are established late at all servers.
     */
    private void recordOutcome(long nowUs, ServerState server, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.RESET) {
            updateErrorRate(nowUs, server, outcome != Outcome.OK);
        }
        boolean connectFailed = outcome == Outcome.CONNECT_FAILED;
        connectFailureRate += ERROR_EWMA_WEIGHT * ((connectFailed ? 1 : 0) - connectFailureRate);
        boolean connectionFailed = connectFailed || outcome == Outcome.RESET;
        server.connectionFailureRate += LatencyEstimator.EWMA_WEIGHT
                * ((connectionFailed ? 1 : 0) - server.connectionFailureRate);
        server.lastConnectedUs = connectionFailed ? Long.MIN_VALUE : nowUs;
        if (outcome == Outcome.OK) {
            server.consecutiveFailures = 0;
            server.failureEjections = 0;
            server.consecutiveTimeouts = 0;
            server.degradedUntilUs = Long.MIN_VALUE;
        } else if (connectionFailed) {
            server.consecutiveFailures++;
            server.degradedUntilUs = nowUs + BASE_EJECTION_US;
            if (connectFailed && server.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
                    && Math.pow(meanConnectionFailureRateOfOthers(server), server.consecutiveFailures)
                            < FAILURE_STREAK_SIGNIFICANCE) {
                server.ejectedUntilUs = nowUs
                        + (BASE_EJECTION_US << Math.min(server.failureEjections++, MAX_BACKOFF_DOUBLINGS));
                operatorLog.warn(nowUs, server.id, " is ejected: connections to it fail");
            }
        }
    }

    /**
     * The fraction of failed connects and resets at the other servers; 0 where there are none. Only servers
     * that their latest call reached count: if many servers are down at once, their failures must not count
     * as the normal rate.
     */
    private double meanConnectionFailureRateOfOthers(ServerState server) {
        return servers.stream().filter(other -> other != server && other.lastConnectedUs != Long.MIN_VALUE)
                .mapToDouble(other -> other.connectionFailureRate).average().orElse(0);
    }

    /**
     * Retries a call whose attempt brought no response if the rules and the retry budget allow it, else gives
     * it up. A retry after an attempt that never ran is free.
     */
    private void retryOrGiveUp(long nowUs, Call call, Outcome outcome) {
        double cost = outcome.provesNotRun ? 0 : 1;
        GiveUpReason reasonNotToRetry = outcome == Outcome.REJECTED ? GiveUpReason.REJECTED
                : attemptRules.reasonNotToRetry(nowUs, call);
        if (reasonNotToRetry == null && !retryBudget.canAfford(cost)) {
            reasonNotToRetry = GiveUpReason.RETRY_BUDGET;
        }
        if (reasonNotToRetry == null) {
            retryBudget.withdraw(cost);
            dispatch(nowUs, call);
        } else {
            giveUp(nowUs, call, reasonNotToRetry);
        }
    }

    /** Ends a call without a server's response: refused where the client may safely retry, else failed. */
    private void giveUp(long nowUs, Call call, GiveUpReason reason) {
        call.ended = true;
        actions.reportGiveUp(call.request.id(), reason);
        boolean hasTimeLeft = nowUs + minLatencyUs(call) < call.usefulUntilUs;
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (AttemptRules.mayRefuse(call) && (hasTimeLeft || retryAfterUs > 0)) {
            // Without this advice a client would use up its retries within milliseconds.
            long shortRetryAfterUs = Math.min((long) latencyEstimator.serviceTimeUs, retryAfterUs);
            actions.refuse(call.request.id(), hasTimeLeft ? shortRetryAfterUs : retryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        removeIfUnused(call);
    }

    /** Removes a call that has ended once its last attempt has ended. */
    private void removeIfUnused(Call call) {
        if (call.ended && call.attemptsInFlight == 0) {
            callsById.remove(call.request.id());
        }
    }

    @Override
    public void streamStarted(long nowUs, String requestId, int attemptNumber, String serverId,
            long elapsedUs) {
        Call call = callsById.get(requestId);
        if (call != null && attemptNumber < call.attempts.size() && !call.ended) {
            // The client receives this attempt's response, so the call ends with it; others are useless now.
            call.committedAttempt = call.attempts.get(attemptNumber);
            call.ended = true;
            cancelOtherAttempts(call);
            processDueWork(nowUs, null);
        }
    }

    @Override
    public void clientGone(long nowUs, String requestId) {
        Call call = callsById.get(requestId);
        if (call != null && !call.ended) {
            call.ended = true;
            cancelOtherAttempts(call);
            removeIfUnused(call);
            processDueWork(nowUs, null);
        }
    }

    /** Takes a call out of the queue and cancels its attempts in flight except the committed one. */
    private void cancelOtherAttempts(Call call) {
        queue.remove(call);
        for (int attemptNumber = 0; attemptNumber < call.attempts.size() && settings.limits().cancel();
                attemptNumber++) {
            if (call.attempts.get(attemptNumber).inFlight
                    && call.attempts.get(attemptNumber) != call.committedAttempt) {
                actions.cancel(call.request.id(), attemptNumber);
            }
        }
    }

    // ---- servers disabled by an operator

    @Override
    public boolean knows(String serverId) {
        return serverNames.knows(serverId);
    }

    @Override
    public void disable(long nowUs, String serverId) {
        if (serverNames.disabled.add(serverId)) {
            serverNames.reenabled.remove(serverId);
            ServerState server = serversById.get(serverId);
            if (server != null) {
                server.disabled = true;
            }
            // The server may be restarted now; the first calls after that would fail on idle connections.
            actions.closeIdle(serverId);
            actions.log(serverId + " was disabled by an operator: it gets no new requests");
        }
    }

    @Override
    public void enable(long nowUs, String serverId) {
        if (!serverNames.disabled.remove(serverId)) {
            return;
        }
        actions.log(serverId + " was enabled by an operator: it gets requests again");
        serverNames.reenabled.add(serverId);
        ServerState server = serversById.get(serverId);
        if (server != null) {
            server.disabled = false;
            server.resetAfterRestart(nowUs);
            if (server.listed) {
                addToRotation(nowUs, server);
                scheduleFirstCall(nowUs, server);
            }
            processDueWork(nowUs, server);
        }
    }

    @Override
    public boolean isDisabled(String serverId) {
        return serverNames.disabled.contains(serverId);
    }

    @Override
    public ServerCounts serverCounts(long nowUs) {
        long available = servers.stream()
                .filter(server -> !server.disabled && server.ejectedUntilUs <= nowUs).count();
        return new ServerCounts(serverNames.listed.size(), serverNames.listed.size() - (int) available);
    }

    // ---- servers that do not respond

    /**
     * Records an overdue attempt: its server may hang although connections to it stay open and it answers
     * probes. It is degraded, and ejected if that happens again without a successful response in between.
     */
    private void recordTimeout(long nowUs, ServerState server) {
        server.consecutiveTimeouts++;
        server.degradedUntilUs = nowUs + BASE_EJECTION_US;
        if (probesPerCall == 0) {
            // At a low rate of calls a round takes longer than the server stays degraded, so its next turn
            // would come as usual.
            long delayUs =
                    (long) Math.min(rotationUs(nowUs) * CALL_OVERDUE_MULTIPLE, MAX_ASSIGNMENT_DELAY_US);
            server.lastAssignedVirtualUs = Math.max(server.lastAssignedVirtualUs, nowUs + delayUs);
        }
        if (server.consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS && canEjectAnother(nowUs)) {
            server.ejectedUntilUs = nowUs
                    + (BASE_EJECTION_US << Math.min(
                            server.consecutiveTimeouts - MAX_CONSECUTIVE_TIMEOUTS, MAX_BACKOFF_DOUBLINGS));
            operatorLog.warn(nowUs, server.id, " is ejected: requests to it get no response in time");
        }
    }

    /**
     * Sends a hedged attempt of an overdue call to another server: the response may never come, and a late
     * one has no value.
     */
    private void hedge(long nowUs, Call call) {
        boolean mayHedge = settings.limits().hedging() && !call.ended && retryBudget.canAfford(1)
                && mayRetry(nowUs, call);
        ServerState server = mayHedge ? pickServer(nowUs, call, CandidateFilter.HAS_CAPACITY) : null;
        if (server != null) {
            retryBudget.withdraw(1);
            send(nowUs, call, server);
        }
    }

    /**
     * Whether at least half of the servers stay available if one more is ejected, so that false alarms cannot
     * eject all of them.
     */
    private boolean canEjectAnother(long nowUs) {
        long available = servers.stream().filter(server -> server.isAvailable(nowUs)).count();
        return (available - 1) * 2 >= servers.size();
    }

    @Override
    public void probeResult(long nowUs, String serverId, Outcome outcome, long elapsedUs, LoadReport report) {
        ServerState server = serversById.get(serverId);
        if (server == null) {
            return;
        }
        server.probeSentAtUs = Long.MIN_VALUE;
        if (outcome == Outcome.OK && report != null) {
            server.unansweredProbes = 0;
            meanProbeUs += LatencyEstimator.EWMA_WEIGHT * (elapsedUs - meanProbeUs);
            server.reportedInFlight = (int) Math.round(Math.max(report.inFlight(), report.queue()));
            meanReportedInFlight += LatencyEstimator.EWMA_WEIGHT
                    * (server.reportedInFlight - meanReportedInFlight);
            if (server.reportedInFlight > 0) {
                // Otherwise servers that are never idle would be probed first for each call, and their load
                // would be taken for that of all servers.
                server.lastAssignedVirtualUs = Math.max(server.lastAssignedVirtualUs, nowUs);
            }
            server.reportValidUntilUs = nowUs + (long) (server.reportedInFlight > 0
                    ? server.reportedInFlight * latencyEstimator.serviceTimeUs
                    * BUSY_REPORT_VALIDITY_FRACTION : PROBE_OVERDUE_MULTIPLE * meanProbeUs);
            if (server.consecutiveFailures == 0) {
                server.degradedUntilUs = Long.MIN_VALUE;
            }
        } else if (outcome == Outcome.CONNECT_FAILED) {
            recordOutcome(nowUs, server, outcome);
        } else {
            server.degradedUntilUs = Math.max(server.degradedUntilUs,
                    nowUs + (long) (PROBE_OVERDUE_MULTIPLE * latencyEstimator.serviceTimeUs));
            server.unansweredProbes++;
            meanReportedInFlight -= LatencyEstimator.EWMA_WEIGHT * meanReportedInFlight;
        }
        processDueWork(nowUs, server);
    }

    // ---- time

    @Override
    public void timer(long nowUs) {
        if (wakeAtUs <= nowUs) {
            wakeAtUs = Long.MAX_VALUE;
        }
        processDueWork(nowUs, null);
    }

    /** Asks for a timer event at this time, unless an earlier one is scheduled. */
    private void scheduleWakeUp(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /**
     * When all queued calls are to be checked next: when the next ejected or new server becomes available or
     * a load report expires, and at the latest after the regular interval.
     */
    private long queueCheckDueUs(long nowUs) {
        return servers.stream().mapToLong(server -> server.nextStateChangeUs(nowUs))
                .reduce(nowUs + (long) (latencyEstimator.serviceTimeUs * BUSY_REPORT_VALIDITY_FRACTION)
                        + settings.tickUs(), Math::min);
    }

    /** Dispatches a queued call; if that throws, the call fails, and the others are handled as before. */
    private void dispatchQueued(long nowUs, Call call) {
        if (!runApart(call, () -> dispatch(nowUs, call))) {
            queue.remove(call);
            if (!call.ended && call.committedAttempt == null) {
                call.ended = true;
                actions.fail(call.request.id());
            }
            removeIfUnused(call);
        }
    }

    /** Does work for one call among others; logs what it throws, and returns false then. */
    private boolean runApart(Call call, Runnable work) {
        try {
            work.run();
            return true;
        } catch (RuntimeException | Error thrown) {
            actions.log("BUG: handling request " + call.request.id() + " has thrown " + thrown);
            return false;
        }
    }

    /** Offers a server whose state changed to the queued calls. */
    private void offerToQueue(long nowUs, ServerState server) {
        queue.offer(MAX_DECLINED_OFFERS,
                requestClass -> server.isAvailable(nowUs)
                        && AttemptRules.isAllowedOn(settings.classes().get(requestClass), server),
                call -> AttemptRules.isEligible(call, server),
                call -> server.isAvailable(nowUs) && hasCapacityFor(nowUs, call, server),
                call -> dispatchQueued(nowUs, call));
    }

    /**
     * Checks all queued calls: with time, a new list or new estimates of latency, a server may have capacity
     * for them, or they may have too little time left.
     */
    private void checkQueue(long nowUs) {
        queue.findAll(call -> hasTooLittleTime(nowUs, call)).forEach(call -> dispatchQueued(nowUs, call));
        servers.stream().filter(server -> server.nextStateChangeUs(lastQueueCheckUs) <= nowUs)
                .forEach(server -> offerToQueue(nowUs, server));
        queue.offer(MAX_DECLINED_OFFERS, lane -> true, call -> true, call -> true,
                call -> dispatchQueued(nowUs, call));
        lastQueueCheckUs = nowUs;
        nextQueueCheckUs = queueCheckDueUs(nowUs);
    }

    /**
     * Does all work that is due: calls discovery, handles overdue attempts and dispatches queued calls.
     *
     * @param changedServer the server whose state an event changed, which is offered to queued calls; or null
     */
    private void processDueWork(long nowUs, ServerState changedServer) {
        if (nextDiscoveryCallUs <= nowUs && !watchingDiscovery) {
            nextDiscoveryCallUs = Long.MAX_VALUE;
            actions.watchServers();
        }
        if (nextDiscoveryCallUs != Long.MAX_VALUE) {
            scheduleWakeUp(nextDiscoveryCallUs);
        }
        while (!sentAttempts.isEmpty()
                && (!sentAttempts.peek().isAwaitingResponse() || sentAttempts.peek().overdueAtUs <= nowUs)) {
            Attempt oldest = sentAttempts.poll();
            if (oldest.isAwaitingResponse()) {
                oldest.overdue = true;
                runApart(oldest.call, () -> {
                    recordTimeout(nowUs, oldest.server);
                    hedge(nowUs, oldest.call);
                });
            }
        }
        if (!sentAttempts.isEmpty()) {
            scheduleWakeUp(sentAttempts.peek().overdueAtUs);
        }
        if (queue.isEmpty()) {
            return;
        }
        for (Call call : queue.awaitingProbes()) {
            // While a probe is in flight, these calls go only to a server that has reported to be idle.
            if (!usesLoadReports(nowUs) || !hasProbeInFlight(nowUs)
                    || changedServer != null && isReportedIdle(nowUs, changedServer)) {
                dispatchQueued(nowUs, call);
            }
        }
        if (changedServer != null) {
            offerToQueue(nowUs, changedServer);
            nextQueueCheckUs = Math.min(nextQueueCheckUs, changedServer.nextStateChangeUs(nowUs));
        }
        if (nextQueueCheckUs <= nowUs) {
            checkQueue(nowUs);
        }
        for (Call call = queue.firstDue(nowUs); call != null; call = queue.firstDue(nowUs)) {
            dispatchQueued(nowUs, call);
        }
        scheduleWakeUp(Math.min(nextQueueCheckUs, queue.nextDueUs()));
    }
}
