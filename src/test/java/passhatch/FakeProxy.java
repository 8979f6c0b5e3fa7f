package passhatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Actions;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Limits;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Prices;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/**
 * A proxy for tests around one instance of the module: records the module's actions as lines of text and
 * advances the time only on request.
 */
final class FakeProxy implements Actions {

    /** A millisecond, in microseconds. */
    static final long MS = 1000;
    /** Indices of the four usual classes. */
    static final int SAFE = 0;
    static final int UNSAFE = 1;
    static final int KEYED = 2;
    static final int KEYED_IN_ZONE = 3;

    /** The settings that tests vary, with their defaults. */
    static final class Setup {
        boolean probes;
        boolean watch;
        int maxAttempts = 4;
        long maxRetryAfterUs;
        double coldFrom = 0.25;
        double tipMultiple = 2;
        long latencyGoalUs = 400 * MS;
        /** Further classes, after the usual four. */
        List<RequestClass> extraClasses = List.of();
        /** Quota of tenant 1, in requests per second, 0 for no limit; tenant 0 has no limit. */
        double quotaPerSecond;
        int replicas = 3;
        double crossZonePrice;
        int replicaIndex;
        int callsPerConnection = 100;
        long closeWithinUs;
        long keepaliveUs;
        boolean hedging = true;

        Settings settings() {
            List<RequestClass> classes = new ArrayList<>(List.of(
                    requestClass(Effect.SAFE, DedupScope.ALL), requestClass(Effect.UNSAFE, DedupScope.ALL),
                    requestClass(Effect.KEYED, DedupScope.ALL), requestClass(Effect.KEYED, DedupScope.ZONE)));
            classes.addAll(extraClasses);
            SettingsBuilder builder = new SettingsBuilder();
            classes.forEach(builder::requestClass);
            return builder.tenant(new Tenant("t", 0)).tenant(new Tenant("u", quotaPerSecond))
                    .overQuotaValueFraction(0.2)
                    .limits(new Limits(maxAttempts, true, probes, maxRetryAfterUs, callsPerConnection,
                            keepaliveUs, hedging))
                    .rules(new Rules(500 * MS, watch ? 8_000 * MS : 0, coldFrom, 8_000 * MS, tipMultiple,
                            1_000 * MS, closeWithinUs))
                    .prices(new Prices(0.001, crossZonePrice)).replicas(replicas, replicaIndex).watch(watch)
                    .build();
        }

        private RequestClass requestClass(Effect effect, DedupScope dedupScope) {
            return new RequestClass(effect + "-" + dedupScope, latencyGoalUs, 1_000 * MS, 1, 0, effect,
                    dedupScope, 600 * MS);
        }
    }

    final LeastLoadedBalancer balancer;
    /** The module's actions, each as its name and its arguments separated by spaces. */
    final List<String> actions = new ArrayList<>();
    /** Servers whose probes are not answered yet. */
    private final List<String> probedServers = new ArrayList<>();
    /** Attempts so far, by request. */
    final Map<String, Integer> attemptCounts = new HashMap<>();
    /** The servers of each request's attempts, in order. */
    final Map<String, List<String>> serversByRequest = new HashMap<>();
    /** The request whose attempts throw when they are sent; null if there is none. */
    String failingRequest;
    long nowUs = 1_000_000 * MS;
    private long wakeAtUs = Long.MAX_VALUE;
    private int requestCount;

    FakeProxy(Setup setup, long seed) {
        balancer = new LeastLoadedBalancer(setup.settings(), seed, this);
    }

    FakeProxy(Setup setup) {
        this(setup, 7);
    }

    /** Gives the module its first list: servers that need no warm-up, two in each zone. */
    FakeProxy withServers(String... ids) {
        List<Server> list = new ArrayList<>();
        for (String id : ids) {
            list.add(new Server(id, 0, list.size() / 2, list.size() / 2, ServerStatus.UP));
        }
        balancer.serversChanged(nowUs, ListKind.CACHED, list);
        return this;
    }

    /** Reports a changed server of zone 0. */
    void changeServer(String id, long startedAtUs, ServerStatus status) {
        balancer.serversChanged(nowUs, ListKind.CHANGES, List.of(new Server(id, startedAtUs, 0, 0, status)));
    }

    /** Makes a request of tenant 0 and returns its id. */
    String request(int requestClass) {
        return request(requestClass, 0);
    }

    /** Makes a request whose client waits 1 s, and returns its id. */
    String request(int requestClass, int tenant) {
        String id = "r" + requestCount++;
        balancer.request(nowUs, new Request(id, requestClass, tenant, 1_000 * MS, 0, false));
        return id;
    }

    /** The server of the latest attempt of a request; null where there is none. */
    String latestServer(String request) {
        List<String> servers = serversByRequest.get(request);
        return servers == null ? null : servers.get(servers.size() - 1);
    }

    /** Ends the latest attempt of a request. */
    void endAttempt(String request, Outcome outcome) {
        endAttempt(request, attemptCounts.get(request) - 1, outcome);
    }

    /**
     * Ends an attempt, which is reported to have taken 50 ms. The request ends with it where the outcome is
     * OK.
     */
    void endAttempt(String request, int attempt, Outcome outcome) {
        balancer.outcome(nowUs, request, attempt, serversByRequest.get(request).get(attempt), outcome,
                50 * MS, outcome == Outcome.OK, null);
    }

    /** Makes a safe request, has probed servers report that they are idle, and returns the serving one. */
    String serve() {
        String request = request(SAFE);
        reportIdle();
        String server = latestServer(request);
        advanceTime(50);
        endAttempt(request, Outcome.OK);
        return server;
    }

    /** Answers all open probes: each of these servers reports that it is idle. */
    void reportIdle() {
        for (int i = 0; i < probedServers.size(); i++) {
            reportLoad(probedServers.get(i), 0);
        }
        probedServers.clear();
    }

    /** Answers a probe of a server. */
    void reportLoad(String server, int inFlight) {
        balancer.probeResult(nowUs, server, Outcome.OK, 1 * MS,
                new LoadReport(inFlight, Math.max(0, inFlight - 1), 0));
    }

    /** Advances the time and calls the timer when it is due. */
    void advanceTime(long ms) {
        long untilUs = nowUs + ms * MS;
        while (wakeAtUs <= untilUs) {
            nowUs = Math.max(nowUs, wakeAtUs);
            wakeAtUs = Long.MAX_VALUE;
            balancer.timer(nowUs);
        }
        nowUs = untilUs;
    }

    /** The number of actions that begin with a text. */
    int countActions(String prefix) {
        return (int) actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    boolean hasAction(String line) {
        return actions.contains(line);
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        if (request.equals(failingRequest)) {
            throw new IllegalStateException("by the test");
        }
        attemptCounts.merge(request, 1, Integer::sum);
        serversByRequest.computeIfAbsent(request, r -> new ArrayList<>()).add(server);
        actions.add("send " + request + " " + server + " " + timeoutUs);
    }

    @Override
    public void refuse(String request, long retryAfterUs) {
        actions.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        actions.add("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void closeIdle(String server) {
        actions.add("close " + server);
    }

    @Override
    public void probe(String server) {
        actions.add("probe " + server);
        probedServers.add(server);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeAtUs = Math.min(wakeAtUs, Math.max(atUs, nowUs + 1));
    }

    @Override
    public void watchServers() {
        actions.add("watch");
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
