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
 * Every decision of the balancer. Its types, events and actions are in {@link Balancer} (Balancer.java).
 *
 * <p>The ordinary path: a server with none of this copy's own calls in flight first, else the fewest in
 * flight, the earliest assigned among equals; see {@link #isPreferred}. Everything else here is about
 * failures
 * and limits.
 */
public final class LeastLoadedBalancer implements Balancer {

    /** Failures in a row after which a server rests: one may be chance, the second confirms it. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;
    /** A streak of failures that comes by chance less often than this tells that the server is down. */
    private static final double FAILURE_STREAK_SIGNIFICANCE = 0.001;
    /** How long a server rests: a few tries a minute do no harm, and a restart takes some seconds. */
    private static final long BASE_EJECTION_US = 3_000_000;
    /** Calls to discovery that are tried within the time after which an unasked list counts as told. */
    private static final int DISCOVERY_CALLS_PER_INTERVAL = 4;
    /** Part of the whole that probes may cost over all tiers; where two a call are dearer, none is sent. */
    private static final double MAX_PROBE_COST_FRACTION = 0.02;
    /** Probes sent at a time before a call: one may be lost or slow, more than two would mostly be wasted. */
    private static final int MAX_PROBES_PER_ROUND = 2;
    /** While servers hold fewer calls than this on average, one probe at a time will mostly do. */
    private static final double LIGHT_LOAD_IN_FLIGHT = 0.25;
    /** Rounds of probes before a call takes the best server known. */
    private static final int MAX_PROBE_ROUNDS = 3;
    /** A probe is worth waiting for while it takes no more than this part of the aim. */
    private static final double MAX_PROBE_FRACTION_OF_GOAL = 0.02;
    /** An answer to a probe counts as overdue after this many times the usual. */
    private static final double PROBE_OVERDUE_MULTIPLE = 3;
    /** A report of a busy server holds for this part of a usual call, as most of that work is still to do. */
    private static final double BUSY_REPORT_VALIDITY_FRACTION = 0.25;
    /** Part of a call's work beyond the usual that counts: hints err, and not all time is work. */
    private static final double EXPECTED_WORK_WEIGHT = 0.5;
    /** Part of the time left that a call may be expected to take: the mean is far from the worst. */
    private static final double MAX_FRACTION_OF_TIME_LEFT = 0.36;
    /** A call worth more may be expected to take up to so many times that part: the least is shed first. */
    private static final double MAX_PRIORITY_FACTOR = 2;
    /** Calls that the copies sharing a server may always have there together: they keep some cores busy. */
    private static final double MIN_CONCURRENCY_PER_SERVER = 4;
    /** More are sent while the next should take under so many times the calm time; 2 to 3 do alike. */
    private static final double MAX_LATENCY_TO_BASELINE = 2.3;
    /** Classes worth up to so many times the least are not favoured: they may be half of all traffic. */
    private static final double PRIORITY_VALUE_RATIO = 4;
    /** A server's turn comes at most this many times as seldom, or as often, as the usual one's. */
    private static final double MAX_SLOWDOWN = 20;
    /** The part of what would push a cold server over that all copies together may send it. */
    private static final double SLOW_START_SAFETY_FACTOR = 0.5;
    /**
     * A held call must have this multiple of a usual call left: sent at the last moment, half would be late.
     */
    private static final double QUEUED_CALL_TIME_MULTIPLE = 1.4;
    /** A rest is doubled at each further failure, so many times at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** A call counts as overdue after this many times the expected, as the times of calls spread widely. */
    private static final double CALL_OVERDUE_MULTIPLE = 5;
    /** Overdue attempts, or unanswered probes, in a row after which a server rests. */
    private static final int MAX_CONSECUTIVE_TIMEOUTS = 2;
    /** Rounds by which the turn of a server in another zone is put off: near ones come first. */
    private static final double OTHER_ZONE_DELAY_ROUNDS = 1;
    /** Weight of the newest answer in a server's share of errors. */
    private static final double ERROR_EWMA_WEIGHT = 0.2;
    /** Share of failed connections above which connected servers come first: one failure counts for ten. */
    private static final double CONNECT_FAILURE_THRESHOLD = 0.02;
    /** Share of errors above which a server may rest for it. */
    private static final double ERROR_RATE_THRESHOLD = 0.35;
    /** And so many times the spread that its share has by chance: one streak in thousands passes it. */
    private static final double ERROR_OUTLIER_DEVIATIONS = 4;
    /** A slow server is tried again after this long at the latest, as it may have recovered. */
    private static final double MAX_ASSIGNMENT_DELAY_US = 24_000_000;
    /** The load of a server that turned a call away as full. */
    private static final int FULL_SERVER_IN_FLIGHT = 1000;
    /**
     * Copies that share a server, where only their own calls tell its load: they should see most of it. Three
     * at most of 2.32 on the mean leave the room that subsets need to stay when a server changes.
     */
    private static final double REPLICAS_PER_SERVER = 2.32;
    /** Servers in a copy's subset at least: with fewer, one that is slow or dead weighs too much. */
    private static final int MIN_SUBSET_SIZE = 4;
    /** The same where probes tell: enough to find an idle one, few enough to rank for each call. */
    private static final int MIN_PROBED_SUBSET_SIZE = 24;
    /** A server put back by hand is tried within this time, where any call may go there. */
    private static final long MAX_REENABLED_DELAY_US = 2_000_000;
    /** Queued calls of a class that are refused before the older ones are passed over. */
    private static final int MAX_DECLINED_OFFERS = 3;

    /** Which servers are looked for: all, those known to be idle, those of which nothing is known. */
    private enum CandidateFilter { HAS_CAPACITY, REPORTED_IDLE, NO_REPORT }

    private final Settings settings;
    private final Actions actions;
    private final OperatorLog operatorLog;
    private final SplittableRandom random;
    private final Map<String, ServerState> serversById = new HashMap<>();
    private final Set<ServerState> servers = new LinkedHashSet<>();
    /** The subsets of the near servers and of the far ones. */
    private final List<Subsetting> subsets;
    private final ServerNames serverNames = new ServerNames();
    private final ServerStarts serverStarts = new ServerStarts();
    /** Whether a server in use now was put back by hand and not reached since. */
    private boolean anyReenabled;
    private final Map<String, Call> callsById = new HashMap<>();
    private long requestCount;
    /** Calls for which no server may be used now; aside, those that wait for probes. */
    private final CallQueue queue;
    /** Servers asked for their load, the earliest asked first; some have answered since. */
    private final ArrayDeque<ServerState> probedServers = new ArrayDeque<>();
    /** When all queued calls were last looked at, and when they are next. */
    private long lastQueueCheckUs = Long.MIN_VALUE;
    private long nextQueueCheckUs = Long.MIN_VALUE;
    /** Attempts in the order of their sending, to find those overdue. */
    private final ArrayDeque<Attempt> sentAttempts = new ArrayDeque<>();
    /** Share of errors among all latest answers. */
    private double overallErrorRate;
    /** Share of reports that calls refuted; until when none is believed; and how often that came. */
    private double refutedReportRate;
    private long reportsIgnoredUntilUs = Long.MIN_VALUE;
    private int reportDistrustPeriods;
    /** Share of connections that could not be made among all latest outcomes. */
    private double connectFailureRate;
    /** The shortest aim of all classes. */
    private final double minLatencyGoalUs;
    private final double minValue;
    private final RetryBudget retryBudget = new RetryBudget();
    private final AttemptRules attemptRules;
    private long wakeAtUs = Long.MAX_VALUE;
    private boolean listReceived;
    private boolean watchingDiscovery;
    private long nextDiscoveryCallUs = Long.MAX_VALUE;
    private final DiscoveryBackoff discoveryBackoff;
    /** Probes that the price allows for each call, and those saved up. */
    private final double probesPerCall;
    private double probeBalance;
    private double meanProbeUs;
    /** Mean of the loads that probed servers reported: what a server not asked just now is taken to hold. */
    private double meanReportedInFlight;
    private final LatencyEstimator latencyEstimator = new LatencyEstimator();
    private double meanExpectedWorkUs;
    /** The time that clients give a first try. */
    private double firstTryTimeoutUs;
    private final TenantQuotas tenantQuotas;
    private double meanSendIntervalUs;
    private long lastSendAtUs = Long.MIN_VALUE;

    /**
     * A new copy, which knows no server yet.
     *
     * @throws IllegalArgumentException where a setting is missing or contradicts another; it names the
     *     setting
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
            serverStarts.heard(nowUs);
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
            server.warmUpStartUs = serverStarts.startOf(nowUs, entry);
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

    /** Brings the subsets in line with what a list said of these servers. */
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
                subsets.get(index).change(removed, added, maxSubsetSize());
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

    /** One that left with calls out is remembered until they end: it may return, and holds them still. */
    private void removeIfUnused(ServerState server) {
        if (!server.listed && server.inFlight == 0) {
            serversById.remove(server.id, server);
        }
    }

    /** Lets a server that was put back by hand have its first call soon. */
    private void scheduleFirstCall(long nowUs, ServerState server) {
        server.eligibleFromUs = Math.min(server.eligibleFromUs,
                nowUs + (long) (random.nextDouble() * MAX_REENABLED_DELAY_US));
        server.reenabled = true;
        anyReenabled = true;
    }

    /**
     * A server that drains must not be kept up by idle connections: they are closed at the notice, and those
     * in use then at the outcome that ends their use.
     */
    private void closeIdleConnections(String serverId) {
        if (settings.rules().closeWithinUs() > 0) {
            actions.closeIdle(serverId);
        }
    }

    /**
     * A new server would be the earliest assigned at every copy at once. It takes the place in the round of
     * one chosen at random, and while it is cold only a part of the copies use it: with many of them, a round
     * of each takes so long that a wait measured in rounds would starve it.
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

    /** When a cold server will safely bear this part of a usual share. */
    private long warmEnoughAtUs(ServerState server, double loadFraction) {
        Rules rules = settings.rules();
        double capacityToGain = Math.min(1, loadFraction / (rules.tipMultiple() * SLOW_START_SAFETY_FACTOR))
                - rules.coldFrom();
        return server.warmUpStartUs
                + (long) (Math.max(0, capacityToGain) / (1 - rules.coldFrom()) * rules.coldUs());
    }

    /** The share of its capacity that a server can be trusted to have by now. */
    private double capacityFraction(ServerState server, long nowUs) {
        Rules rules = settings.rules();
        long ageUs = nowUs - server.warmUpStartUs;
        if (server.warmUpStartUs <= 0 || ageUs >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, ageUs) / rules.coldUs();
    }

    /**
     * Time between two turns of a cold server, in a round over all servers at this copy's pace. If every
     * copy keeps it, the server gets no more than a safe part of what would push it over, taking it that a
     * warm one can do at least what it is sent now.
     */
    private double slowStartIntervalUs(ServerState server, long nowUs) {
        double safeFraction = capacityFraction(server, nowUs) * settings.rules().tipMultiple()
                * SLOW_START_SAFETY_FACTOR;
        return rotationUs(nowUs) * Math.max(1, 1 / safeFraction);
    }

    /** Time in which this copy goes round all servers. */
    private double rotationUs(long nowUs) {
        return (meanSendIntervalUs > 0 ? meanSendIntervalUs : settings.classes().get(0).latencyGoalUs())
                * Math.max(1, subsetSize(nowUs));
    }

    /**
     * How many servers this copy keeps to. Where many copies send to each server and no probe tells what the
     * others sent, own calls in flight say nothing; and where a connection carries one call, those of many
     * copies fill a server up, even idle. So each copy keeps to a few. Where probes tell, more are used, but
     * not all of hundreds: ranking them for each call costs too much. For members out of use others stand in.
     */
    private int subsetSize(long nowUs) {
        return usesLoadReports(nowUs) ? maxSubsetSize() : subsetSizeOfAtLeast(MIN_SUBSET_SIZE);
    }

    private int maxSubsetSize() {
        boolean usesReports = probesPerCall > 0 && settings.limits().callsPerConnection() > 1;
        return subsetSizeOfAtLeast(usesReports ? MIN_PROBED_SUBSET_SIZE : MIN_SUBSET_SIZE);
    }

    private int subsetSizeOfAtLeast(int minSize) {
        int serverCount = servers.size();
        return (int) Math.min(serverCount,
                Math.max(minSize, Math.ceil(REPLICAS_PER_SERVER * serverCount / settings.replicas())));
    }

    /**
     * How much longer than usual the server's calls take. Among idle servers all that is left of the order
     * is the turn: were it kept by assignment alone, slow servers would get as many calls as fast ones.
     */
    private double relativeServiceTime(ServerState server) {
        return server.loadSum == 0 || latencyEstimator.serviceTimeUs == 0 ? 1
                : Math.min(MAX_SLOWDOWN,
                        Math.max(1 / MAX_SLOWDOWN, server.serviceTimeUs() / latencyEstimator.serviceTimeUs));
    }

    /** Where crossing zones has a price, servers of other zones come some rounds later. */
    private double zoneDelayRounds(ServerState server) {
        return settings.prices().crossZone() > 0 && server.zone != settings.zone()
                ? OTHER_ZONE_DELAY_ROUNDS : 0;
    }

    @Override
    public void discoveryFailed(long nowUs, DiscoveryFailure failure) {
        watchingDiscovery = false;
        nextDiscoveryCallUs = nowUs + discoveryBackoff.nextPauseUs(failure);
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
            // The aim counts from the first try, and a last try has all that is left of the client's time.
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
     * Whether a request lies beyond its tenant's share, by this copy's part of the quota. It earns little,
     * so while no server is idle it makes room for others. Below the first tier work was done for it before.
     */
    private boolean exceedsQuota(long nowUs, int tenant) {
        return settings.tier() == 0 && settings.overQuotaValueFraction() < 1
                && tenant < settings.tenants().size()
                && tenantQuotas.exceedsQuota(nowUs, tenant,
                        settings.tenants().get(tenant).quotaPerSecond() / settings.replicas());
    }

    /** Sends the call to the server whose turn it is, or lets it wait for one. */
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
            queue.addAside(call, call.probeWaitUntilUs);
            scheduleWakeUp(call.probeWaitUntilUs);
        } else if (call.overQuota && (server == null || knownInFlight(nowUs, server) > 0)) {
            giveUp(nowUs, call, GiveUpReason.BEYOND_SHARE);
        } else if (server == null) {
            operatorLog.warn(nowUs, call.requestClass.name(),
                    " waits: every server it may use is too crowded, rests or is cold");
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
     * Whether the call first waits for probes. With few own calls in flight every server looks idle, those
     * that serve other copies' calls, stall or crawl as well: so the next in turn are asked, and the first
     * found idle is taken. Acts where probes are cheap and quick.
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

    private boolean hasProbeInFlight(long nowUs) {
        while (!probedServers.isEmpty() && (probedServers.peek().probeSentAtUs == Long.MIN_VALUE
                || nowUs - probedServers.peek().probeSentAtUs
                        >= PROBE_OVERDUE_MULTIPLE * meanProbeUs + settings.tickUs())) {
            probedServers.poll();
        }
        return !probedServers.isEmpty();
    }

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

    /** Notes when an attempt is overdue, counted from the last byte of its request. */
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
     * The server whose turn it is among those of the subset that this call may use and that are wanted. Where
     * all near ones are too crowded or slow for it, the far subset follows: traffic that moves to one zone
     * must not be refused while others have room.
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
                    candidates = subset.all();
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
        // Whoever put a server back looks for its first call, so it comes in addition to the subset.
        for (ServerState server : anyReenabled ? servers : Set.<ServerState>of()) {
            if (server.reenabled && isAvailableFor(nowUs, call, server)) {
                best = betterCandidate(nowUs, call, filter, server, best);
            }
        }
        return best;
    }

    /** The better of a server, where it is one that is wanted, and the best so far, if any. */
    private ServerState betterCandidate(long nowUs, Call call, CandidateFilter filter, ServerState server,
            ServerState best) {
        boolean matches = switch (filter) {
            case HAS_CAPACITY -> hasCapacityFor(nowUs, call, server);
            case REPORTED_IDLE -> isReportedIdle(nowUs, server);
            case NO_REPORT -> server.probeSentAtUs == Long.MIN_VALUE && server.reportValidUntilUs <= nowUs;
        };
        return matches && (best == null || isPreferred(nowUs, server, best)) ? server : best;
    }

    private boolean isReportedIdle(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs && knownInFlight(nowUs, server) == 0
                && !isDegraded(nowUs, server);
    }

    private boolean hasCapacityFor(long nowUs, Call call, ServerState server) {
        // Classes that may take longer must not fill the servers up for the others, unless they are worth
        // more. Those worth far more may also crowd a server further, so that under overload the room of the
        // least worth ends first; were they most of the traffic, they would choke it.
        double valueRatio = minValue > 0 ? call.requestClass.value() / minValue : 1;
        double priority = Math.max(1, Math.min(valueRatio / PRIORITY_VALUE_RATIO, MAX_PRIORITY_FACTOR));
        double allowedUs = Math.min((call.usefulUntilUs - nowUs) * priority, minLatencyGoalUs * valueRatio);
        // An idle server is never too slow for long: it would not be seen to recover. Where
        // only own calls tell, others may crowd one that looks idle, so its last calls count for a while.
        boolean idle = estimatedInFlight(nowUs, server) == 0
                && (usesLoadReports(nowUs) || !hasRecentLatencySample(nowUs, server));
        double expectedLatencyUs = expectedLatencyUs(nowUs, call, server);
        return idle || expectedLatencyUs <= allowedUs * MAX_FRACTION_OF_TIME_LEFT
                && !isServerCongested(nowUs, server, expectedLatencyUs);
    }

    /**
     * Whether one more call would only lengthen the server's queue. The aim may leave room for many calls,
     * yet where they take far longer than when all was calm, a longer queue serves none sooner, and some
     * servers turn slower once crowded and stay so. Such calls wait here, where they can still go to the
     * server that is free first. Where a server's cores share the work, times stay near the calm one and
     * nothing is held. A general slowness from below looks the same: then a copy keeps to its first calls at
     * each server.
     */
    private boolean isServerCongested(long nowUs, ServerState server, double expectedLatencyUs) {
        double replicasPerServer = Math.max(1,
                (double) settings.replicas() * subsetSize(nowUs) / servers.size());
        return knownInFlight(nowUs, server) * replicasPerServer >= MIN_CONCURRENCY_PER_SERVER
                && latencyEstimator.isCongested()
                && expectedLatencyUs > latencyEstimator.baselineLatencyUs * MAX_LATENCY_TO_BASELINE;
    }

    /** Whether a call to the server ended so lately that its time still counts. */
    private static boolean hasRecentLatencySample(long nowUs, ServerState server) {
        return server.lastLatencySampleUs != Long.MIN_VALUE
                && nowUs - server.lastLatencySampleUs < BASE_EJECTION_US;
    }

    private static boolean isAvailableFor(long nowUs, Call call, ServerState server) {
        return server.isAvailable(nowUs) && AttemptRules.isEligible(call, server);
    }

    /**
     * How long the server will take over this call. One too crowded or slow to answer in time counts as
     * resting for it: late work is wasted and keeps the crowd from clearing.
     */
    private double expectedLatencyUs(long nowUs, Call call, ServerState server) {
        double typicalServiceTimeUs = latencyEstimator.serviceTimeUs / capacityFraction(server, nowUs);
        double serviceTimeUs = hasRecentLatencySample(nowUs, server) ? server.serviceTimeUs()
                : server.loadSum > 0 ? Math.min(server.serviceTimeUs(), typicalServiceTimeUs)
                : typicalServiceTimeUs;
        return serviceTimeUs * (estimatedInFlight(nowUs, server) + call.relativeWork * EXPECTED_WORK_WEIGHT);
    }

    /** Calls in flight: this copy's own, or all copies' where the server said so just now. */
    private static int knownInFlight(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs
                ? Math.max(server.inFlight, server.reportedInFlight) : server.inFlight;
    }

    private int estimatedInFlight(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs ? knownInFlight(nowUs, server)
                : Math.max(server.inFlight, (int) meanReportedInFlight);
    }

    private boolean hasTooLittleTime(long nowUs, Call call) {
        return nowUs + minLatencyUs(call) > call.usefulUntilUs || nowUs >= call.usefulUntilUs;
    }

    /** The least that this call can be hoped to take. */
    private double minLatencyUs(Call call) {
        return (call.wasQueued ? latencyEstimator.serviceTimeUs * QUEUED_CALL_TIME_MULTIPLE
                : latencyEstimator.lowServiceTimeUs) * call.relativeWork;
    }

    /** Idle servers in use come first, then the fewest calls in flight; of equals the earliest assigned. */
    private boolean isPreferred(long nowUs, ServerState server, ServerState other) {
        int serverLoad = knownInFlight(nowUs, server);
        int otherLoad = knownInFlight(nowUs, other);
        boolean serverIdle = serverLoad == 0 && !isDegraded(nowUs, server);
        boolean otherIdle = otherLoad == 0 && !isDegraded(nowUs, other);
        if (serverIdle != otherIdle) {
            return serverIdle;
        }
        // A server cut off from this copy holds none of its calls; it must not draw all that find others
        // busy.
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
     * A server that owes an answer to a probe is demoted too: it was asked first, so its turn is the next,
     * and the call that asked would go to the one that stalls or is cut off.
     */
    private boolean isDegraded(long nowUs, ServerState server) {
        return server.degradedUntilUs > nowUs || isSuspected(nowUs, server)
                || server.probeSentAtUs != Long.MIN_VALUE
                        && nowUs - server.probeSentAtUs > PROBE_OVERDUE_MULTIPLE * meanProbeUs;
    }

    /**
     * Whether a call there might need a connection while those fail. Where servers take few, answer slowly to
     * new ones or are cut off, calls do best at servers that this copy is connected to. They come first then,
     * and even with a call more. It saves connections for other copies too. One dead server sets it off for
     * some calls; were it to act always, each copy would keep to a few servers without need.
     */
    private boolean isSuspected(long nowUs, ServerState server) {
        return connectFailureRate > CONNECT_FAILURE_THRESHOLD && server.inFlight == 0
                && server.lastConnectedUs <= nowUs - settings.limits().keepaliveUs();
    }

    /** Whether the call may be sent once more, after its attempts so far. */
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
     * Where servers that had just called themselves idle turn calls away as full or leave them unanswered,
     * reports are old: believed, they send the calls of all copies to those that were idle a while ago. So
     * for a time this copy goes by its own calls alone.
     */
    private void recordReportAccuracy(long nowUs, boolean refuted) {
        refutedReportRate += ERROR_EWMA_WEIGHT * ((refuted ? 1 : 0) - refutedReportRate);
        if (refutedReportRate > ERROR_RATE_THRESHOLD) {
            reportsIgnoredUntilUs = nowUs
                    + (BASE_EJECTION_US << Math.min(reportDistrustPeriods++, MAX_BACKOFF_DOUBLINGS));
            refutedReportRate = 0;
        }
    }

    /** Whether probes tell what servers hold. */
    private boolean usesLoadReports(long nowUs) {
        return probesPerCall > 0 && reportsIgnoredUntilUs <= nowUs;
    }

    /**
     * Rests a server that errs far more than the others, or breaks their connections: answering at once, it
     * always looks idle and draws ever more calls. Errors that all show alike come from a tier below and rest
     * none.
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
                    " rests: it errs or breaks connections far more often than others");
        }
    }

    /**
     * Whether a server errs more than a streak by chance explains, where the others err as they do. Where
     * all break one connection in eight, two breaks in a row come every few seconds: were those enough, one
     * server or another would always rest, and the others would be crowded.
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
     * Keeps the tally of failures. A connection that breaks had come up, so the server may well be alive: it
     * is demoted, but rests only once a connect to it fails too. Where a server breaks far more of them than
     * the others do, it rests as one that errs: breaks that all show alike come from the way there, and were
     * they to rest servers, none would be left. So it is with connections that come up late at all of them.
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
                operatorLog.warn(nowUs, server.id, " rests: connections to it fail");
            }
        }
    }

    /**
     * The share of failed or broken connections at the other servers. Of these only the ones count that the
     * latest call reached: where many are down at once, it must not pass for what is usual.
     */
    private double meanConnectionFailureRateOfOthers(ServerState server) {
        return servers.stream().filter(other -> other != server && other.lastConnectedUs != Long.MIN_VALUE)
                .mapToDouble(other -> other.connectionFailureRate).average().orElse(0);
    }

    /** After an attempt that brought no answer: another server if that is allowed and can be afforded. */
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

    /** The final answer where no server gave one: a refusal where the client may come again. */
    private void giveUp(long nowUs, Call call, GiveUpReason reason) {
        call.ended = true;
        actions.reportGiveUp(call.request.id(), reason);
        boolean hasTimeLeft = nowUs + minLatencyUs(call) < call.usefulUntilUs;
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (AttemptRules.mayRefuse(call) && (hasTimeLeft || retryAfterUs > 0)) {
            // A client told nothing would use up its tries within milliseconds.
            long shortRetryAfterUs = Math.min((long) latencyEstimator.serviceTimeUs, retryAfterUs);
            actions.refuse(call.request.id(), hasTimeLeft ? shortRetryAfterUs : retryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        removeIfUnused(call);
    }

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
            // The attempt is the client's now, and its outcome will end the call. No other is of any use.
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

    // ---- servers out by hand

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
            // It may be restarted now: what is kept open to it would be found dead by the first calls after.
            actions.closeIdle(serverId);
            actions.log(serverId + " is out by hand");
        }
    }

    @Override
    public void enable(long nowUs, String serverId) {
        if (!serverNames.disabled.remove(serverId)) {
            return;
        }
        actions.log(serverId + " is back by hand");
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

    // ---- servers that do not answer

    /**
     * An attempt is overdue: its server may hang, with connections that stand and probes that are answered.
     * It is demoted, and rests if that happens again with no answer between.
     */
    private void recordTimeout(long nowUs, ServerState server) {
        server.consecutiveTimeouts++;
        server.degradedUntilUs = nowUs + BASE_EJECTION_US;
        if (probesPerCall == 0) {
            // A copy with few calls comes round less often than that: the next turn would come as usual.
            long delayUs =
                    (long) Math.min(rotationUs(nowUs) * CALL_OVERDUE_MULTIPLE, MAX_ASSIGNMENT_DELAY_US);
            server.lastAssignedVirtualUs = Math.max(server.lastAssignedVirtualUs, nowUs + delayUs);
        }
        if (server.consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS && canEjectAnother(nowUs)) {
            server.ejectedUntilUs = nowUs
                    + (BASE_EJECTION_US << Math.min(
                            server.consecutiveTimeouts - MAX_CONSECUTIVE_TIMEOUTS, MAX_BACKOFF_DOUBLINGS));
            operatorLog.warn(nowUs, server.id, " rests: calls to it stay unanswered");
        }
    }

    /** Sends an overdue call elsewhere too: its answer may never come, and a late one earns nothing. */
    private void hedge(long nowUs, Call call) {
        boolean mayHedge = settings.limits().hedging() && !call.ended && retryBudget.canAfford(1)
                && mayRetry(nowUs, call);
        ServerState server = mayHedge ? pickServer(nowUs, call, CandidateFilter.HAS_CAPACITY) : null;
        if (server != null) {
            retryBudget.withdraw(1);
            send(nowUs, call, server);
        }
    }

    /** Whether half of the servers stay in use if one more rests: no false alarm may rest them all. */
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
                // Else servers never idle would be asked first each time, and pass for all others.
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

    private void scheduleWakeUp(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /** When the next server that rests or enters may be used, and the usual pace of looks at the latest. */
    private long queueCheckDueUs(long nowUs) {
        return servers.stream().mapToLong(server -> server.nextStateChangeUs(nowUs))
                .reduce(nowUs + (long) (latencyEstimator.serviceTimeUs * BUSY_REPORT_VALIDITY_FRACTION)
                        + settings.tickUs(), Math::min);
    }

    /** Offers a server that changed to the queued calls. */
    private void offerToQueue(long nowUs, ServerState server) {
        queue.offer(MAX_DECLINED_OFFERS,
                requestClass -> server.isAvailable(nowUs)
                        && AttemptRules.isAllowedOn(settings.classes().get(requestClass), server),
                call -> AttemptRules.isEligible(call, server),
                call -> server.isAvailable(nowUs) && hasCapacityFor(nowUs, call, server),
                call -> dispatch(nowUs, call));
    }

    /** Looks at all queued calls: time, a list or what is usual now may have made them usable or hopeless. */
    private void checkQueue(long nowUs) {
        queue.all(call -> hasTooLittleTime(nowUs, call)).forEach(call -> dispatch(nowUs, call));
        servers.stream().filter(server -> server.nextStateChangeUs(lastQueueCheckUs) <= nowUs)
                .forEach(server -> offerToQueue(nowUs, server));
        queue.offer(MAX_DECLINED_OFFERS, lane -> true, call -> true, call -> true,
                call -> dispatch(nowUs, call));
        lastQueueCheckUs = nowUs;
        nextQueueCheckUs = queueCheckDueUs(nowUs);
    }

    /** Does what has become due, and offers the server that an event freed or changed, if any. */
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
                recordTimeout(nowUs, oldest.server);
                hedge(nowUs, oldest.call);
            }
        }
        if (!sentAttempts.isEmpty()) {
            scheduleWakeUp(sentAttempts.peek().overdueAtUs);
        }
        if (queue.isEmpty()) {
            return;
        }
        for (Call call : queue.aside()) {
            // As long as a probe is out, only a server that is found idle is of use to them.
            if (!usesLoadReports(nowUs) || !hasProbeInFlight(nowUs)
                    || changedServer != null && isReportedIdle(nowUs, changedServer)) {
                dispatch(nowUs, call);
            }
        }
        if (changedServer != null) {
            offerToQueue(nowUs, changedServer);
            nextQueueCheckUs = Math.min(nextQueueCheckUs, changedServer.nextStateChangeUs(nowUs));
        }
        if (nextQueueCheckUs <= nowUs) {
            checkQueue(nowUs);
        }
        for (Call call = queue.due(nowUs); call != null; call = queue.due(nowUs)) {
            dispatch(nowUs, call);
        }
        scheduleWakeUp(Math.min(nextQueueCheckUs, queue.nextUs()));
    }
}
