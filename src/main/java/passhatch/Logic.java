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
 * flight, the earliest assigned among equals; see {@link #better}. Everything else here is about failures
 * and limits.
 */
public final class Logic implements Balancer {

    /** Failures in a row after which a server rests: one may be chance, the second confirms it. */
    private static final int MAX_FAILS = 2;
    /** A streak of failures that comes by chance less often than this tells that the server is down. */
    private static final double CHANCE_STREAK = 0.001;
    /** How long a server rests: a few tries a minute do no harm, and a restart takes some seconds. */
    private static final long FAIL_TIMEOUT_US = 3_000_000;
    /** Calls to discovery that are tried within the time after which an unasked list counts as told. */
    private static final int ASKS_WITHIN = 4;
    /** Part of the whole that probes may cost over all tiers; where two a call are dearer, none is sent. */
    private static final double PROBE_SPEND = 0.02;
    /** Probes sent at a time before a call: one may be lost or slow, more than two would mostly be wasted. */
    private static final int PROBES_AT_ONCE = 2;
    /** While servers hold fewer calls than this on average, one probe at a time will mostly do. */
    private static final double LIGHT_LOAD = 0.25;
    /** Rounds of probes before a call takes the best server known. */
    private static final int PROBE_ROUNDS = 3;
    /** A probe is worth waiting for while it takes no more than this part of the aim. */
    private static final double PROBE_SHARE_OF_AIM = 0.02;
    /** An answer to a probe counts as overdue after this many times the usual. */
    private static final double OVERDUE = 3;
    /** A report of a busy server holds for this part of a usual call, as most of that work is still to do. */
    private static final double BUSY_HOLDS = 0.25;
    /** Part of a call's work beyond the usual that counts: hints err, and not all time is work. */
    private static final double HOPE = 0.5;
    /** Part of the time left that a call may be expected to take: the mean is far from the worst. */
    private static final double CROWD = 0.36;
    /** A call worth more may be expected to take up to so many times that part: the least is shed first. */
    private static final double MOST_FAVOUR = 2;
    /** Calls that the copies sharing a server may always have there together: they keep some cores busy. */
    private static final double JOINT_CALLS = 4;
    /** More are sent while the next should take under so many times the calm time; 2 to 3 do alike. */
    private static final double CALM = 2.3;
    /** Classes worth up to so many times the least are not favoured: they may be half of all traffic. */
    private static final double FAVOURED = 4;
    /** A server's turn comes at most this many times as seldom, or as often, as the usual one's. */
    private static final double MOST_SLOWNESS = 20;
    /** The part of what would push a cold server over that all copies together may send it. */
    private static final double COLD_MARGIN = 0.5;
    /**
     * A held call must have this multiple of a usual call left: sent at the last moment, half would be late.
     */
    private static final double HELD_MARGIN = 1.4;
    /** A rest is doubled at each further failure, so many times at most. */
    private static final int MOST_DOUBLINGS = 4;
    /** A call counts as overdue after this many times the expected, as the times of calls spread widely. */
    private static final double CALL_OVERDUE = 5;
    /** Overdue attempts, or unanswered probes, in a row after which a server rests. */
    private static final int SILENCES = 2;
    /** Rounds by which the turn of a server in another zone is put off: near ones come first. */
    private static final double FAR_ROUNDS = 1;
    /** Weight of the newest answer in a server's share of errors. */
    private static final double ERROR_WEIGHT = 0.2;
    /** Share of failed connections above which connected servers come first: one failure counts for ten. */
    private static final double CUT = 0.02;
    /** Share of errors above which a server may rest for it. */
    private static final double ERRORS = 0.35;
    /** And so many times the spread that its share has by chance: one streak in thousands passes it. */
    private static final double BEYOND_CHANCE = 4;
    /** A slow server is tried again after this long at the latest, as it may have recovered. */
    private static final double MOST_LATE_US = 24_000_000;
    /** The load of a server that turned a call away as full. */
    private static final int FULL_LOAD = 1000;
    /**
     * Copies that share a server, where only their own calls tell its load: they should see most of it. Three
     * at most of 2.32 on the mean leave the room that subsets need to stay when a server changes.
     */
    private static final double SHARERS = 2.32;
    /** Servers in a copy's subset at least: with fewer, one that is slow or dead weighs too much. */
    private static final int LEAST_SUBSET = 4;
    /** The same where probes tell: enough to find an idle one, few enough to rank for each call. */
    private static final int LEAST_TOLD = 24;
    /** A server put back by hand is tried within this time, where any call may go there. */
    private static final long RETURN_US = 2_000_000;
    /** Queued calls of a class that are refused before the older ones are passed over. */
    private static final int REFUSALS = 3;

    /** Which servers are looked for: all, those known to be idle, those of which nothing is known. */
    private enum Wanted { ANY, FOUND_IDLE, UNKNOWN }

    private final Settings settings;
    private final Actions actions;
    private final OperatorLog log;
    private final SplittableRandom random;
    private final Map<String, ServerState> byId = new HashMap<>();
    private final Set<ServerState> servers = new LinkedHashSet<>();
    /** The subsets of the near servers and of the far ones. */
    private final List<Subsetting> subsets;
    private final ServerNames names = new ServerNames();
    private final ServerStarts starts = new ServerStarts();
    /** Whether a server in use now was put back by hand and not reached since. */
    private boolean returning;
    private final Map<String, Call> calls = new HashMap<>();
    private long requests;
    /** Calls for which no server may be used now; aside, those that wait for probes. */
    private final CallQueue queue;
    /** Servers asked for their load, the earliest asked first; some have answered since. */
    private final ArrayDeque<ServerState> asked = new ArrayDeque<>();
    /** When all queued calls were last looked at, and when they are next. */
    private long lookedAtUs = Long.MIN_VALUE;
    private long lookAtUs = Long.MIN_VALUE;
    /** Attempts in the order of their sending, to find those overdue. */
    private final ArrayDeque<Attempt> sent = new ArrayDeque<>();
    /** Share of errors among all latest answers. */
    private double errors;
    /** Share of reports that calls refuted; until when none is believed; and how often that came. */
    private double doubt;
    private long doubtUntilUs = Long.MIN_VALUE;
    private int doubts;
    /** Share of connections that could not be made among all latest outcomes. */
    private double cut;
    /** The shortest aim of all classes. */
    private final double shortestAimUs;
    private final double leastWorth;
    private final RetryBudget retries = new RetryBudget();
    private final AttemptRules rules;
    private long wakeAtUs = Long.MAX_VALUE;
    private boolean begun;
    private boolean watching;
    private long askAtUs = Long.MAX_VALUE;
    private final DiscoveryBackoff discoveryBackoff;
    /** Probes that the price allows for each call, and those saved up. */
    private final double probesEarned;
    private double probes;
    private double probeUs;
    /** Mean of the loads that probed servers reported: what a server not asked just now is taken to hold. */
    private double reportedLoad;
    private final LatencyEstimator times = new LatencyEstimator();
    private double workUs;
    /** The time that clients give a first try. */
    private double firstTryUs;
    private final TenantQuotas shares;
    private double gapUs;
    private long lastSendUs = Long.MIN_VALUE;

    /**
     * A new copy, which knows no server yet.
     *
     * @throws IllegalArgumentException where a setting is missing or contradicts another; it names the
     *     setting
     */
    public Logic(Settings settings, long seed, Actions actions) {
        SettingsCheck.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions");
        this.log = new OperatorLog(actions);
        this.rules = new AttemptRules(settings.limits().maxAttempts());
        this.random = new SplittableRandom(seed);
        this.subsets = List.of(new Subsetting(settings.replicaIndex(), settings.replicas()),
                new Subsetting(settings.replicaIndex(), settings.replicas()));
        this.discoveryBackoff =
                new DiscoveryBackoff(settings.rules().maxDiscoveryIntervalUs() / ASKS_WITHIN, random);
        this.queue = new CallQueue(settings.classes().size());
        this.shares = new TenantQuotas(settings.tenants().size());
        this.shortestAimUs = settings.classes().stream().mapToLong(RequestClass::latencyGoalUs).min()
                .orElseThrow();
        this.leastWorth = settings.classes().stream().mapToDouble(RequestClass::value).min().orElseThrow();
        double price = settings.prices().probe() * settings.tiers();
        double affordable = price > 0 ? PROBE_SPEND / price : PROBES_AT_ONCE * PROBE_ROUNDS;
        this.probesEarned = settings.limits().probes() && affordable >= PROBES_AT_ONCE
                ? Math.min(affordable, PROBES_AT_ONCE * PROBE_ROUNDS) : 0;
        this.probes = probesEarned * PROBE_ROUNDS;
        this.probeUs = settings.tickUs();
    }

    // ---- the list of servers

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> list) {
        if (kind != ListKind.CHANGES) {
            servers.forEach(s -> s.up = false);
            names.listed.clear();
        }
        Set<ServerState> touched = new LinkedHashSet<>(kind == ListKind.CHANGES ? List.of() : servers);
        for (Server line : list) {
            names.update(line);
            learn(nowUs, line, touched);
        }
        subset(nowUs, touched);
        if (kind != ListKind.CACHED) {
            starts.heard(nowUs);
        }
        if (!begun) {
            begun = true;
            askAtUs = settings.watch() ? nowUs : Long.MAX_VALUE;
        } else if (settings.watch()) {
            watching = true;
            discoveryBackoff.reset();
            askAtUs = Long.MAX_VALUE;
        }
        lookAtUs = nowUs;
        advance(nowUs, null);
    }

    private void learn(long nowUs, Server line, Set<ServerState> touched) {
        ServerState s = byId.get(line.id());
        if (s != null) {
            touched.add(s);
            s.up = false;
            s.draining = line.status() == ServerStatus.DRAINING;
        }
        if (line.status() != ServerStatus.UP) {
            if (line.status() == ServerStatus.DRAINING) {
                closeIdle(line.id());
            }
            return;
        }
        if (s == null || line.startedAtUs() != s.startedAtUs || line.zone() != s.zone) {
            s = new ServerState(line.id());
            s.startedAtUs = line.startedAtUs();
            s.warmUpStartUs = starts.startOf(nowUs, line);
            s.disabled = names.disabled.contains(s.id);
            s.zone = line.zone();
            s.lastAssignedVirtualUs = farness(s) > 0
                    ? nowUs + (long) (random.nextDouble() * paceUs(nowUs) * farness(s))
                    : Long.MIN_VALUE + random.nextLong(1L << 32);
            byId.put(s.id, s);
            touched.add(s);
        }
        s.cell = line.cell();
        s.machineType = line.machineType();
        s.up = true;
    }

    /** Brings the subsets in line with what a list said of these servers. */
    private void subset(long nowUs, Set<ServerState> touched) {
        touched.removeIf(s -> s.up == s.listed);
        for (ServerState s : touched) {
            s.listed = s.up;
            if (s.listed) {
                servers.add(s);
            } else {
                servers.remove(s);
                forget(s);
            }
        }
        for (int ring = 0; ring < subsets.size(); ring++) {
            List<ServerState> gone = new ArrayList<>();
            List<ServerState> come = new ArrayList<>();
            for (ServerState s : touched) {
                if (farness(s) > 0 == ring > 0) {
                    (s.listed ? come : gone).add(s);
                }
            }
            if (!touched.isEmpty()) {
                subsets.get(ring).change(gone, come, mostMembers());
            }
        }
        for (ServerState s : touched) {
            if (s.listed && (begun || share(s, nowUs) < 1)) {
                enter(nowUs, s);
            }
            if (s.listed && names.reenabled.contains(s.id)) {
                comeBack(nowUs, s);
            }
        }
    }

    /** One that left with calls out is remembered until they end: it may return, and holds them still. */
    private void forget(ServerState s) {
        if (!s.listed && s.inFlight == 0) {
            byId.remove(s.id, s);
        }
    }

    /** Lets a server that was put back by hand have its first call soon. */
    private void comeBack(long nowUs, ServerState s) {
        s.eligibleFromUs = Math.min(s.eligibleFromUs, nowUs + (long) (random.nextDouble() * RETURN_US));
        s.reenabled = true;
        returning = true;
    }

    /**
     * A server that drains must not be kept up by idle connections: they are closed at the notice, and those
     * in use then at the outcome that ends their use.
     */
    private void closeIdle(String server) {
        if (settings.rules().closeWithinUs() > 0) {
            actions.closeIdle(server);
        }
    }

    /**
     * A new server would be the earliest assigned at every copy at once. It takes the place in the round of
     * one chosen at random, and while it is cold only a part of the copies use it: with many of them, a round
     * of each takes so long that a wait measured in rounds would starve it.
     */
    private void enter(long nowUs, ServerState s) {
        List<ServerState> members = subsets.get(farness(s) > 0 ? 1 : 0).members();
        int any = random.nextInt(Math.max(1, members.size()));
        for (int i = 0; i < members.size(); i++) {
            ServerState other = members.get((any + i) % members.size());
            if (other != s) {
                s.lastAssignedVirtualUs = other.lastAssignedVirtualUs;
                break;
            }
        }
        s.eligibleFromUs = Math.min(nowUs + (long) (random.nextDouble() * turnUs(s, nowUs)),
                fitAtUs(s, random.nextDouble()));
    }

    /** When a cold server will safely bear this part of a usual share. */
    private long fitAtUs(ServerState s, double part) {
        Rules rules = settings.rules();
        double needed = Math.min(1, part / (rules.tipMultiple() * COLD_MARGIN)) - rules.coldFrom();
        return s.warmUpStartUs + (long) (Math.max(0, needed) / (1 - rules.coldFrom()) * rules.coldUs());
    }

    /** The share of its capacity that a server can be trusted to have by now. */
    private double share(ServerState s, long nowUs) {
        Rules rules = settings.rules();
        long age = nowUs - s.warmUpStartUs;
        if (s.warmUpStartUs <= 0 || age >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age) / rules.coldUs();
    }

    /**
     * Time between two turns of a cold server, in a round over all servers at this copy's pace. If every
     * copy keeps it, the server gets no more than a safe part of what would push it over, taking it that a
     * warm one can do at least what it is sent now.
     */
    private double turnUs(ServerState s, long nowUs) {
        double fair = share(s, nowUs) * settings.rules().tipMultiple() * COLD_MARGIN;
        return paceUs(nowUs) * Math.max(1, 1 / fair);
    }

    /** Time in which this copy goes round all servers. */
    private double paceUs(long nowUs) {
        return (gapUs > 0 ? gapUs : settings.classes().get(0).latencyGoalUs())
                * Math.max(1, subsetSize(nowUs));
    }

    /**
     * How many servers this copy keeps to. Where many copies send to each server and no probe tells what the
     * others sent, own calls in flight say nothing; and where a connection carries one call, those of many
     * copies fill a server up, even idle. So each copy keeps to a few. Where probes tell, more are used, but
     * not all of hundreds: ranking them for each call costs too much. For members out of use others stand in.
     */
    private int subsetSize(long nowUs) {
        return told(nowUs) ? mostMembers() : members(LEAST_SUBSET);
    }

    private int mostMembers() {
        boolean told = probesEarned > 0 && settings.limits().callsPerConnection() > 1;
        return members(told ? LEAST_TOLD : LEAST_SUBSET);
    }

    private int members(int least) {
        int all = servers.size();
        return (int) Math.min(all, Math.max(least, Math.ceil(SHARERS * all / settings.replicas())));
    }

    /**
     * How much longer than usual the server's calls take. Among idle servers all that is left of the order
     * is the turn: were it kept by assignment alone, slow servers would get as many calls as fast ones.
     */
    private double slowness(ServerState s) {
        return s.loadSum == 0 || times.serviceTimeUs == 0 ? 1
                : Math.min(MOST_SLOWNESS,
                        Math.max(1 / MOST_SLOWNESS, s.serviceTimeUs() / times.serviceTimeUs));
    }

    /** Where crossing zones has a price, servers of other zones come some rounds later. */
    private double farness(ServerState s) {
        return settings.prices().crossZone() > 0 && s.zone != settings.zone() ? FAR_ROUNDS : 0;
    }

    @Override
    public void discoveryFailed(long nowUs, DiscoveryFailure how) {
        watching = false;
        askAtUs = nowUs + discoveryBackoff.nextPauseUs(how);
        advance(nowUs, null);
    }

    // ---- requests and their attempts

    @Override
    public void request(long nowUs, Request request) {
        RequestClass kind = settings.classes().get(request.requestClass());
        double size = 1;
        if (request.expectedWorkUs() > 0) {
            workUs += (request.expectedWorkUs() - workUs)
                    * (workUs == 0 ? 1 : LatencyEstimator.EWMA_WEIGHT / 2);
            size = request.expectedWorkUs() / workUs;
        }
        size = size > 1 ? 1 + (size - 1) * HOPE : size;
        long usefulUs = kind.lateValueFraction() > 0 ? kind.deadlineUs() : kind.latencyGoalUs();
        if (!request.clientRetry()) {
            firstTryUs = request.timeLeftUs();
        } else if (Math.abs(request.timeLeftUs() - firstTryUs) > settings.tickUs() * 10) {
            // The aim counts from the first try, and a last try has all that is left of the client's time.
            usefulUs -= kind.deadlineUs() - request.timeLeftUs();
        }
        Call call = new Call(request, kind, requests++, nowUs, usefulUs, size);
        call.overQuota = beyondShare(nowUs, request.tenant());
        calls.put(request.id(), call);
        retries.deposit();
        probes = Math.min(probes + probesEarned, probesEarned * PROBE_ROUNDS);
        dispatch(nowUs, call);
    }

    /**
     * Whether a request lies beyond its tenant's share, by this copy's part of the quota. It earns little,
     * so while no server is idle it makes room for others. Below the first tier work was done for it before.
     */
    private boolean beyondShare(long nowUs, int tenant) {
        return settings.tier() == 0 && settings.overQuotaValueFraction() < 1
                && tenant < settings.tenants().size()
                && shares.exceedsQuota(nowUs, tenant,
                        settings.tenants().get(tenant).quotaPerSecond() / settings.replicas());
    }

    /** Sends the call to the server whose turn it is, or lets it wait for one. */
    private void dispatch(long nowUs, Call call) {
        queue.remove(call);
        if (hopeless(nowUs, call)) {
            if (!call.wasQueued) {
                times.decayLowServiceTime();
            }
            giveUp(nowUs, call, GiveUpReason.NO_TIME);
            return;
        }
        ServerState found = told(nowUs) ? pick(nowUs, call, Wanted.FOUND_IDLE) : null;
        ServerState s = found != null ? found : pick(nowUs, call, Wanted.ANY);
        if (found == null && asks(nowUs, call)) {
            queue.addAside(call, call.probeWaitUntilUs);
            wake(call.probeWaitUntilUs);
        } else if (call.overQuota && (s == null || load(nowUs, s) > 0)) {
            giveUp(nowUs, call, GiveUpReason.BEYOND_SHARE);
        } else if (s == null) {
            log.warn(nowUs, call.requestClass.name(),
                    " waits: every server it may use is too crowded, rests or is cold");
            call.wasQueued = true;
            call.probeRounds = 0;
            queue.add(call, Math.max(nowUs + 1, call.usefulUntilUs - (long) leastUs(call)));
            lookAtUs = lookAtUs > nowUs ? lookAtUs : nextLook(nowUs);
            wake(Math.min(lookAtUs, call.dueAtUs));
        } else {
            send(nowUs, call, s);
        }
    }

    /**
     * Whether the call first waits for probes. With few own calls in flight every server looks idle, those
     * that serve other copies' calls, stall or crawl as well: so the next in turn are asked, and the first
     * found idle is taken. Acts where probes are cheap and quick.
     */
    private boolean asks(long nowUs, Call call) {
        if (!told(nowUs) || probeUs > call.requestClass.latencyGoalUs() * PROBE_SHARE_OF_AIM) {
            return false;
        }
        if (nowUs < call.probeWaitUntilUs && anyProbeOut(nowUs)) {
            return true;
        }
        int sent = 0;
        int atOnce = reportedLoad < LIGHT_LOAD ? 1 : PROBES_AT_ONCE;
        while (call.probeRounds < PROBE_ROUNDS && sent < atOnce && probes >= 1) {
            ServerState s = pick(nowUs, call, Wanted.UNKNOWN);
            if (s == null) {
                break;
            }
            s.probeSentAtUs = nowUs;
            asked.add(s);
            probes--;
            sent++;
            actions.probe(s.id);
        }
        call.probeRounds++;
        call.probeWaitUntilUs = nowUs + (long) (OVERDUE * probeUs) + settings.tickUs();
        return sent > 0;
    }

    private boolean anyProbeOut(long nowUs) {
        while (!asked.isEmpty() && (asked.peek().probeSentAtUs == Long.MIN_VALUE
                || nowUs - asked.peek().probeSentAtUs >= OVERDUE * probeUs + settings.tickUs())) {
            asked.poll();
        }
        return !asked.isEmpty();
    }

    private void send(long nowUs, Call call, ServerState s) {
        if (lastSendUs != Long.MIN_VALUE) {
            long gap = nowUs - lastSendUs;
            gapUs += (gap - gapUs) * (gapUs == 0 ? 1 : LatencyEstimator.EWMA_WEIGHT);
        }
        lastSendUs = nowUs;
        Attempt attempt = new Attempt(call, s, nowUs, load(nowUs, s) + call.relativeWork,
                probesEarned == 0 || s.reportValidUntilUs > nowUs);
        call.attempts.add(attempt);
        if (!call.incomplete) {
            expect(nowUs, attempt);
        }
        call.attemptsInFlight++;
        s.inFlight++;
        double late = Math.min(paceUs(nowUs) * (slowness(s) - 1), MOST_LATE_US) + paceUs(nowUs) * farness(s);
        s.lastAssignedVirtualUs = nowUs + (long) late;
        double turnUs = turnUs(s, nowUs);
        if (turnUs > paceUs(nowUs)) {
            s.eligibleFromUs = Math.min(nowUs + (long) (turnUs * (0.5 + random.nextDouble())), fitAtUs(s, 1));
        }
        actions.send(call.request.id(), s.id, call.deadlineUs - nowUs);
    }

    /** Notes when an attempt is overdue, counted from the last byte of its request. */
    private void expect(long nowUs, Attempt attempt) {
        if (times.serviceTimeUs > 0) {
            attempt.overdueAtUs = nowUs + (long) (CALL_OVERDUE * times.serviceTimeUs * attempt.loadAtSend);
            sent.add(attempt);
            wake(sent.peek().overdueAtUs);
        }
    }

    @Override
    public void requestComplete(long nowUs, String id, long timeLeftUs) {
        Call call = calls.get(id);
        if (call == null || !call.incomplete) {
            return;
        }
        call.incomplete = false;
        call.deadlineUs = nowUs + timeLeftUs;
        call.usefulUntilUs = nowUs + Math.min(timeLeftUs, call.maxUsefulLatencyUs);
        for (Attempt a : call.attempts) {
            if (a.inFlight) {
                expect(nowUs, a);
            }
        }
        if (queue.remove(call)) {
            dispatch(nowUs, call);
        }
        advance(nowUs, null);
    }

    @Override
    public void bodyDiscarded(long nowUs, String id) {
        Call call = calls.get(id);
        if (call != null) {
            call.bodyDiscarded = true;
        }
    }

    /**
     * The server whose turn it is among those of the subset that this call may use and that are wanted. Where
     * all near ones are too crowded or slow for it, the far subset follows: traffic that moves to one zone
     * must not be refused while others have room.
     */
    private ServerState pick(long nowUs, Call call, Wanted wanted) {
        ServerState best = null;
        int left = 0;
        for (Subsetting ring : subsets) {
            List<ServerState> from = ring.members();
            if (ring == subsets.get(0) || best == null && wanted == Wanted.ANY) {
                left = subsetSize(nowUs) == mostMembers() ? from.size() : subsetSize(nowUs);
            }
            for (int i = 0; left > 0; i++) {
                if (i == from.size()) {
                    from = ring.all();
                }
                if (i == from.size()) {
                    break;
                }
                if (open(nowUs, call, from.get(i))) {
                    left--;
                    best = better(nowUs, call, wanted, from.get(i), best);
                }
            }
        }
        // Whoever put a server back looks for its first call, so it comes in addition to the subset.
        for (ServerState s : returning ? servers : Set.<ServerState>of()) {
            if (s.reenabled && open(nowUs, call, s)) {
                best = better(nowUs, call, wanted, s, best);
            }
        }
        return best;
    }

    /** The better of a server, where it is one that is wanted, and the best so far, if any. */
    private ServerState better(long nowUs, Call call, Wanted wanted, ServerState s, ServerState best) {
        boolean fits = switch (wanted) {
            case ANY -> usable(nowUs, call, s);
            case FOUND_IDLE -> foundIdle(nowUs, s);
            case UNKNOWN -> s.probeSentAtUs == Long.MIN_VALUE && s.reportValidUntilUs <= nowUs;
        };
        return fits && (best == null || better(nowUs, s, best)) ? s : best;
    }

    private boolean foundIdle(long nowUs, ServerState s) {
        return s.reportValidUntilUs > nowUs && load(nowUs, s) == 0 && !demoted(nowUs, s);
    }

    private boolean usable(long nowUs, Call call, ServerState s) {
        // Classes that may take longer must not fill the servers up for the others, unless they are worth
        // more. Those worth far more may also crowd a server further, so that under overload the room of the
        // least worth ends first; were they most of the traffic, they would choke it.
        double worth = leastWorth > 0 ? call.requestClass.value() / leastWorth : 1;
        double favour = Math.max(1, Math.min(worth / FAVOURED, MOST_FAVOUR));
        double timeUs = Math.min((call.usefulUntilUs - nowUs) * favour, shortestAimUs * worth);
        // An idle server is never too slow for long: it would not be seen to recover. Where
        // only own calls tell, others may crowd one that looks idle, so its last calls count for a while.
        boolean idle = assumedLoad(nowUs, s) == 0 && (told(nowUs) || !seenLately(nowUs, s));
        double expectedUs = expectedUs(nowUs, call, s);
        return idle || expectedUs <= timeUs * CROWD && !crowded(nowUs, s, expectedUs);
    }

    /**
     * Whether one more call would only lengthen the server's queue. The aim may leave room for many calls,
     * yet where they take far longer than when all was calm, a longer queue serves none sooner, and some
     * servers turn slower once crowded and stay so. Such calls wait here, where they can still go to the
     * server that is free first. Where a server's cores share the work, times stay near the calm one and
     * nothing is held. A general slowness from below looks the same: then a copy keeps to its first calls at
     * each server.
     */
    private boolean crowded(long nowUs, ServerState s, double expectedUs) {
        double sharers = Math.max(1, (double) settings.replicas() * subsetSize(nowUs) / servers.size());
        return load(nowUs, s) * sharers >= JOINT_CALLS
                && times.isCongested() && expectedUs > times.baselineLatencyUs * CALM;
    }

    /** Whether a call to the server ended so lately that its time still counts. */
    private static boolean seenLately(long nowUs, ServerState s) {
        return s.lastLatencySampleUs != Long.MIN_VALUE && nowUs - s.lastLatencySampleUs < FAIL_TIMEOUT_US;
    }

    private static boolean open(long nowUs, Call call, ServerState s) {
        return s.isAvailable(nowUs) && AttemptRules.isEligible(call, s);
    }

    /**
     * How long the server will take over this call. One too crowded or slow to answer in time counts as
     * resting for it: late work is wasted and keeps the crowd from clearing.
     */
    private double expectedUs(long nowUs, Call call, ServerState s) {
        double usual = times.serviceTimeUs / share(s, nowUs);
        double each = seenLately(nowUs, s) ? s.serviceTimeUs()
                : s.loadSum > 0 ? Math.min(s.serviceTimeUs(), usual) : usual;
        return each * (assumedLoad(nowUs, s) + call.relativeWork * HOPE);
    }

    /** Calls in flight: this copy's own, or all copies' where the server said so just now. */
    private static int load(long nowUs, ServerState s) {
        return s.reportValidUntilUs > nowUs ? Math.max(s.inFlight, s.reportedInFlight) : s.inFlight;
    }

    private int assumedLoad(long nowUs, ServerState s) {
        return s.reportValidUntilUs > nowUs ? load(nowUs, s) : Math.max(s.inFlight, (int) reportedLoad);
    }

    private boolean hopeless(long nowUs, Call call) {
        return nowUs + leastUs(call) > call.usefulUntilUs || nowUs >= call.usefulUntilUs;
    }

    /** The least that this call can be hoped to take. */
    private double leastUs(Call call) {
        return (call.wasQueued ? times.serviceTimeUs * HELD_MARGIN : times.lowServiceTimeUs)
                * call.relativeWork;
    }

    /** Idle servers in use come first, then the fewest calls in flight; of equals the earliest assigned. */
    private boolean better(long nowUs, ServerState a, ServerState b) {
        int loadA = load(nowUs, a);
        int loadB = load(nowUs, b);
        boolean idleA = loadA == 0 && !demoted(nowUs, a);
        boolean idleB = loadB == 0 && !demoted(nowUs, b);
        if (idleA != idleB) {
            return idleA;
        }
        // A server cut off from this copy holds none of its calls; it must not draw all that find others
        // busy.
        loadA += Math.min(SILENCES, a.unansweredProbes + a.consecutiveTimeouts)
                + (doubtful(nowUs, a) ? 1 : 0);
        loadB += Math.min(SILENCES, b.unansweredProbes + b.consecutiveTimeouts)
                + (doubtful(nowUs, b) ? 1 : 0);
        if (loadA != loadB) {
            return loadA < loadB;
        }
        return a.lastAssignedVirtualUs < b.lastAssignedVirtualUs
                || a.lastAssignedVirtualUs == b.lastAssignedVirtualUs
                        && a.consecutiveFailures < b.consecutiveFailures;
    }

    /**
     * A server that owes an answer to a probe is demoted too: it was asked first, so its turn is the next,
     * and the call that asked would go to the one that stalls or is cut off.
     */
    private boolean demoted(long nowUs, ServerState s) {
        return s.degradedUntilUs > nowUs || doubtful(nowUs, s)
                || s.probeSentAtUs != Long.MIN_VALUE && nowUs - s.probeSentAtUs > OVERDUE * probeUs;
    }

    /**
     * Whether a call there might need a connection while those fail. Where servers take few, answer slowly to
     * new ones or are cut off, calls do best at servers that this copy is connected to. They come first then,
     * and even with a call more. It saves connections for other copies too. One dead server sets it off for
     * some calls; were it to act always, each copy would keep to a few servers without need.
     */
    private boolean doubtful(long nowUs, ServerState s) {
        return cut > CUT && s.inFlight == 0 && s.lastConnectedUs <= nowUs - settings.limits().keepaliveUs();
    }

    /** Whether the call may be sent once more, after its attempts so far. */
    private boolean mayRepeat(long nowUs, Call call) {
        return rules.reasonNotToRetry(nowUs, call) == null;
    }

    @Override
    public boolean maySend(long nowUs, String id, int number) {
        Call call = calls.get(id);
        return call != null && AttemptRules.mayWrite(nowUs, call, call.attempts.get(number));
    }

    @Override
    public void outcome(long nowUs, String id, int number, String server, Outcome outcome, long elapsedUs,
            boolean ended, LoadReport report) {
        Call call = calls.get(id);
        if (call == null || number >= call.attempts.size() || !call.attempts.get(number).inFlight) {
            return;
        }
        Attempt attempt = call.attempts.get(number);
        attempt.inFlight = false;
        attempt.server.inFlight--;
        call.attemptsInFlight--;
        forget(attempt.server);
        if (attempt.server.reenabled && (!outcome.provesNotRun || outcome == Outcome.FULL)) {
            attempt.server.reenabled = false;
            names.reenabled.remove(attempt.server.id);
            returning = servers.stream().anyMatch(s -> s.reenabled);
        }
        if (attempt.server.disabled) {
            actions.closeIdle(attempt.server.id);
        } else if (attempt.server.draining) {
            closeIdle(attempt.server.id);
        }
        judge(nowUs, attempt.server, outcome);
        if ((outcome == Outcome.OK || outcome == Outcome.TIMEOUT)
                && (attempt.loadKnown || times.serviceTimeUs == 0)) {
            times.add(elapsedUs, attempt.loadAtSend);
            ServerState s = attempt.server;
            s.latencySumUs += elapsedUs - s.latencySumUs * LatencyEstimator.EWMA_WEIGHT;
            s.loadSum += attempt.loadAtSend - s.loadSum * LatencyEstimator.EWMA_WEIGHT;
            s.lastLatencySampleUs = nowUs;
        } else if (outcome == Outcome.FULL) {
            attempt.server.reportedInFlight = FULL_LOAD;
            attempt.server.reportValidUntilUs = nowUs + (long) (times.serviceTimeUs * BUSY_HOLDS);
        }
        if (attempt.serverReportedIdle()) {
            judgeReports(nowUs, outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
        }
        attempt.provedNotRun = outcome.provesNotRun;
        if (outcome == Outcome.TIMEOUT && !attempt.overdue) {
            silent(nowUs, attempt.server);
        }
        if (ended) {
            call.ended = true;
            cancelRest(call);
        }
        if (!call.ended && call.attemptsInFlight == 0) {
            again(nowUs, call, outcome);
        }
        forget(call);
        advance(nowUs, attempt.server);
    }

    /**
     * Where servers that had just called themselves idle turn calls away as full or leave them unanswered,
     * reports are old: believed, they send the calls of all copies to those that were idle a while ago. So
     * for a time this copy goes by its own calls alone.
     */
    private void judgeReports(long nowUs, boolean refuted) {
        doubt += ERROR_WEIGHT * ((refuted ? 1 : 0) - doubt);
        if (doubt > ERRORS) {
            doubtUntilUs = nowUs + (FAIL_TIMEOUT_US << Math.min(doubts++, MOST_DOUBLINGS));
            doubt = 0;
        }
    }

    /** Whether probes tell what servers hold. */
    private boolean told(long nowUs) {
        return probesEarned > 0 && doubtUntilUs <= nowUs;
    }

    /**
     * Rests a server that errs far more than the others, or breaks their connections: answering at once, it
     * always looks idle and draws ever more calls. Errors that all show alike come from a tier below and rest
     * none.
     */
    private void judgeErrors(long nowUs, ServerState s, boolean error) {
        s.errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - s.errorRate);
        errors += ERROR_WEIGHT * ERROR_WEIGHT * ((error ? 1 : 0) - errors);
        if (!error) {
            s.errorEjections = s.errorRate < ERRORS / 2 ? 0 : s.errorEjections;
        } else if (s.errorRate > ERRORS && s.errorRate > 2 * errors && beyondChance(s) && mostStay(nowUs)) {
            s.ejectedUntilUs = nowUs + (FAIL_TIMEOUT_US << Math.min(s.errorEjections++, MOST_DOUBLINGS));
            s.errorRate = ERRORS;
            log.warn(nowUs, s.id, " rests: it errs or breaks connections far more often than others");
        }
    }

    /**
     * Whether a server errs more than a streak by chance explains, where the others err as they do. Where
     * all break one connection in eight, two breaks in a row come every few seconds: were those enough, one
     * server or another would always rest, and the others would be crowded.
     */
    private boolean beyondChance(ServerState s) {
        double others = -s.errorRate;
        for (ServerState other : servers) {
            others += other.errorRate;
        }
        double usual = Math.min(1, Math.max(0, others / Math.max(1, servers.size() - 1)));
        double spread = Math.sqrt(usual * (1 - usual) * ERROR_WEIGHT / (2 - ERROR_WEIGHT));
        return s.errorRate > usual + BEYOND_CHANCE * spread;
    }

    /**
     * Keeps the tally of failures. A connection that breaks had come up, so the server may well be alive: it
     * is demoted, but rests only once a connect to it fails too. Where a server breaks far more of them than
     * the others do, it rests as one that errs: breaks that all show alike come from the way there, and were
     * they to rest servers, none would be left. So it is with connections that come up late at all of them.
     */
    private void judge(long nowUs, ServerState s, Outcome outcome) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.RESET) {
            judgeErrors(nowUs, s, outcome != Outcome.OK);
        }
        boolean failed = outcome == Outcome.CONNECT_FAILED;
        cut += ERROR_WEIGHT * ((failed ? 1 : 0) - cut);
        boolean broken = failed || outcome == Outcome.RESET;
        s.connectionFailureRate += LatencyEstimator.EWMA_WEIGHT
                * ((broken ? 1 : 0) - s.connectionFailureRate);
        s.lastConnectedUs = broken ? Long.MIN_VALUE : nowUs;
        if (outcome == Outcome.OK) {
            s.consecutiveFailures = 0;
            s.failureEjections = 0;
            s.consecutiveTimeouts = 0;
            s.degradedUntilUs = Long.MIN_VALUE;
        } else if (broken) {
            s.consecutiveFailures++;
            s.degradedUntilUs = nowUs + FAIL_TIMEOUT_US;
            if (failed && s.consecutiveFailures >= MAX_FAILS
                    && Math.pow(usuallyBroken(s), s.consecutiveFailures) < CHANCE_STREAK) {
                s.ejectedUntilUs = nowUs
                        + (FAIL_TIMEOUT_US << Math.min(s.failureEjections++, MOST_DOUBLINGS));
                log.warn(nowUs, s.id, " rests: connections to it fail");
            }
        }
    }

    /**
     * The share of failed or broken connections at the other servers. Of these only the ones count that the
     * latest call reached: where many are down at once, it must not pass for what is usual.
     */
    private double usuallyBroken(ServerState s) {
        return servers.stream().filter(other -> other != s && other.lastConnectedUs != Long.MIN_VALUE)
                .mapToDouble(other -> other.connectionFailureRate).average().orElse(0);
    }

    /** After an attempt that brought no answer: another server if that is allowed and can be afforded. */
    private void again(long nowUs, Call call, Outcome outcome) {
        double price = outcome.provesNotRun ? 0 : 1;
        GiveUpReason forbidden = outcome == Outcome.REJECTED ? GiveUpReason.REJECTED
                : rules.reasonNotToRetry(nowUs, call);
        if (forbidden == null && !retries.canAfford(price)) {
            forbidden = GiveUpReason.RETRY_BUDGET;
        }
        if (forbidden == null) {
            retries.withdraw(price);
            dispatch(nowUs, call);
        } else {
            giveUp(nowUs, call, forbidden);
        }
    }

    /** The final answer where no server gave one: a refusal where the client may come again. */
    private void giveUp(long nowUs, Call call, GiveUpReason reason) {
        call.ended = true;
        actions.reportGiveUp(call.request.id(), reason);
        boolean timeLeft = nowUs + leastUs(call) < call.usefulUntilUs;
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (AttemptRules.mayRefuse(call) && (timeLeft || retryAfterUs > 0)) {
            // A client told nothing would use up its tries within milliseconds.
            long soonUs = Math.min((long) times.serviceTimeUs, retryAfterUs);
            actions.refuse(call.request.id(), timeLeft ? soonUs : retryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        forget(call);
    }

    private void forget(Call call) {
        if (call.ended && call.attemptsInFlight == 0) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void streamStarted(long nowUs, String id, int attempt, String server, long elapsedUs) {
        Call call = calls.get(id);
        if (call != null && attempt < call.attempts.size() && !call.ended) {
            // The attempt is the client's now, and its outcome will end the call. No other is of any use.
            call.committedAttempt = call.attempts.get(attempt);
            call.ended = true;
            cancelRest(call);
            advance(nowUs, null);
        }
    }

    @Override
    public void clientGone(long nowUs, String id) {
        Call call = calls.get(id);
        if (call != null && !call.ended) {
            call.ended = true;
            cancelRest(call);
            forget(call);
            advance(nowUs, null);
        }
    }

    private void cancelRest(Call call) {
        queue.remove(call);
        for (int i = 0; i < call.attempts.size() && settings.limits().cancel(); i++) {
            if (call.attempts.get(i).inFlight && call.attempts.get(i) != call.committedAttempt) {
                actions.cancel(call.request.id(), i);
            }
        }
    }

    // ---- servers out by hand

    @Override
    public boolean knows(String server) {
        return names.knows(server);
    }

    @Override
    public void disable(long nowUs, String server) {
        if (names.disabled.add(server)) {
            names.reenabled.remove(server);
            ServerState s = byId.get(server);
            if (s != null) {
                s.disabled = true;
            }
            // It may be restarted now: what is kept open to it would be found dead by the first calls after.
            actions.closeIdle(server);
            actions.log(server + " is out by hand");
        }
    }

    @Override
    public void enable(long nowUs, String server) {
        if (!names.disabled.remove(server)) {
            return;
        }
        actions.log(server + " is back by hand");
        names.reenabled.add(server);
        ServerState s = byId.get(server);
        if (s != null) {
            s.disabled = false;
            s.resetAfterRestart(nowUs);
            if (s.listed) {
                enter(nowUs, s);
                comeBack(nowUs, s);
            }
            advance(nowUs, s);
        }
    }

    @Override
    public boolean isDisabled(String server) {
        return names.disabled.contains(server);
    }

    @Override
    public ServerCounts serverCounts(long nowUs) {
        long open = servers.stream().filter(s -> !s.disabled && s.ejectedUntilUs <= nowUs).count();
        return new ServerCounts(names.listed.size(), names.listed.size() - (int) open);
    }

    // ---- servers that do not answer

    /**
     * An attempt is overdue: its server may hang, with connections that stand and probes that are answered.
     * It is demoted, and rests if that happens again with no answer between.
     */
    private void silent(long nowUs, ServerState s) {
        s.consecutiveTimeouts++;
        s.degradedUntilUs = nowUs + FAIL_TIMEOUT_US;
        if (probesEarned == 0) {
            // A copy with few calls comes round less often than that: the next turn would come as usual.
            long lateUs = (long) Math.min(paceUs(nowUs) * CALL_OVERDUE, MOST_LATE_US);
            s.lastAssignedVirtualUs = Math.max(s.lastAssignedVirtualUs, nowUs + lateUs);
        }
        if (s.consecutiveTimeouts >= SILENCES && mostStay(nowUs)) {
            s.ejectedUntilUs = nowUs
                    + (FAIL_TIMEOUT_US << Math.min(s.consecutiveTimeouts - SILENCES, MOST_DOUBLINGS));
            log.warn(nowUs, s.id, " rests: calls to it stay unanswered");
        }
    }

    /** Sends an overdue call elsewhere too: its answer may never come, and a late one earns nothing. */
    private void hedge(long nowUs, Call call) {
        boolean may = settings.limits().hedging() && !call.ended && retries.canAfford(1)
                && mayRepeat(nowUs, call);
        ServerState s = may ? pick(nowUs, call, Wanted.ANY) : null;
        if (s != null) {
            retries.withdraw(1);
            send(nowUs, call, s);
        }
    }

    /** Whether half of the servers stay in use if one more rests: no false alarm may rest them all. */
    private boolean mostStay(long nowUs) {
        long inUse = servers.stream().filter(s -> s.isAvailable(nowUs)).count();
        return (inUse - 1) * 2 >= servers.size();
    }

    @Override
    public void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report) {
        ServerState s = byId.get(server);
        if (s == null) {
            return;
        }
        s.probeSentAtUs = Long.MIN_VALUE;
        if (outcome == Outcome.OK && report != null) {
            s.unansweredProbes = 0;
            probeUs += LatencyEstimator.EWMA_WEIGHT * (elapsedUs - probeUs);
            s.reportedInFlight = (int) Math.round(Math.max(report.inFlight(), report.queue()));
            reportedLoad += LatencyEstimator.EWMA_WEIGHT * (s.reportedInFlight - reportedLoad);
            if (s.reportedInFlight > 0) {
                // Else servers never idle would be asked first each time, and pass for all others.
                s.lastAssignedVirtualUs = Math.max(s.lastAssignedVirtualUs, nowUs);
            }
            s.reportValidUntilUs = nowUs + (long) (s.reportedInFlight > 0
                    ? s.reportedInFlight * times.serviceTimeUs * BUSY_HOLDS : OVERDUE * probeUs);
            if (s.consecutiveFailures == 0) {
                s.degradedUntilUs = Long.MIN_VALUE;
            }
        } else if (outcome == Outcome.CONNECT_FAILED) {
            judge(nowUs, s, outcome);
        } else {
            s.degradedUntilUs = Math.max(s.degradedUntilUs, nowUs + (long) (OVERDUE * times.serviceTimeUs));
            s.unansweredProbes++;
            reportedLoad -= LatencyEstimator.EWMA_WEIGHT * reportedLoad;
        }
        advance(nowUs, s);
    }

    // ---- time

    @Override
    public void timer(long nowUs) {
        if (wakeAtUs <= nowUs) {
            wakeAtUs = Long.MAX_VALUE;
        }
        advance(nowUs, null);
    }

    private void wake(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /** When the next server that rests or enters may be used, and the usual pace of looks at the latest. */
    private long nextLook(long nowUs) {
        return servers.stream().mapToLong(s -> s.nextStateChangeUs(nowUs))
                .reduce(nowUs + (long) (times.serviceTimeUs * BUSY_HOLDS) + settings.tickUs(), Math::min);
    }

    /** Offers a server that changed to the queued calls. */
    private void offer(long nowUs, ServerState s) {
        queue.offer(REFUSALS,
                lane -> s.isAvailable(nowUs) && AttemptRules.isAllowedOn(settings.classes().get(lane), s),
                call -> AttemptRules.isEligible(call, s),
                call -> s.isAvailable(nowUs) && usable(nowUs, call, s),
                call -> dispatch(nowUs, call));
    }

    /** Looks at all queued calls: time, a list or what is usual now may have made them usable or hopeless. */
    private void look(long nowUs) {
        queue.all(call -> hopeless(nowUs, call)).forEach(call -> dispatch(nowUs, call));
        servers.stream().filter(s -> s.nextStateChangeUs(lookedAtUs) <= nowUs).forEach(s -> offer(nowUs, s));
        queue.offer(REFUSALS, lane -> true, call -> true, call -> true, call -> dispatch(nowUs, call));
        lookedAtUs = nowUs;
        lookAtUs = nextLook(nowUs);
    }

    /** Does what has become due, and offers the server that an event freed or changed, if any. */
    private void advance(long nowUs, ServerState changed) {
        if (askAtUs <= nowUs && !watching) {
            askAtUs = Long.MAX_VALUE;
            actions.watchServers();
        }
        if (askAtUs != Long.MAX_VALUE) {
            wake(askAtUs);
        }
        while (!sent.isEmpty() && (!sent.peek().isAwaitingResponse() || sent.peek().overdueAtUs <= nowUs)) {
            Attempt oldest = sent.poll();
            if (oldest.isAwaitingResponse()) {
                oldest.overdue = true;
                silent(nowUs, oldest.server);
                hedge(nowUs, oldest.call);
            }
        }
        if (!sent.isEmpty()) {
            wake(sent.peek().overdueAtUs);
        }
        if (queue.isEmpty()) {
            return;
        }
        for (Call call : queue.aside()) {
            // As long as a probe is out, only a server that is found idle is of use to them.
            if (!told(nowUs) || !anyProbeOut(nowUs) || changed != null && foundIdle(nowUs, changed)) {
                dispatch(nowUs, call);
            }
        }
        if (changed != null) {
            offer(nowUs, changed);
            lookAtUs = Math.min(lookAtUs, changed.nextStateChangeUs(nowUs));
        }
        if (lookAtUs <= nowUs) {
            look(nowUs);
        }
        for (Call call = queue.due(nowUs); call != null; call = queue.due(nowUs)) {
            dispatch(nowUs, call);
        }
        wake(Math.min(lookAtUs, queue.nextUs()));
    }
}
