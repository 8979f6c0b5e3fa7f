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

/** A hand-driven proxy around one instance of the module: time moves only when told to. */
final class FakeProxy implements Actions {

    static final long MS = 1000;
    static final int SAFE = 0;
    static final int UNSAFE = 1;
    static final int KEYED = 2;
    static final int KEYED_IN_ZONE = 3;

    /** Settings to vary in a test. */
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
        /** Requests a second within the share of tenant 1; tenant 0 is unlimited. */
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

    final LeastLoadedBalancer logic;
    final List<String> actions = new ArrayList<>();
    private final List<String> probedServers = new ArrayList<>();
    final Map<String, Integer> attemptCounts = new HashMap<>();
    final Map<String, List<String>> serversByRequest = new HashMap<>();
    long nowUs = 1_000_000 * MS;
    private long wakeAtUs = Long.MAX_VALUE;
    private int requestCount;

    FakeProxy(Setup setup, long seed) {
        logic = new LeastLoadedBalancer(setup.settings(), seed, this);
    }

    FakeProxy(Setup setup) {
        this(setup, 7);
    }

    /** Starts with warm servers, two to a zone. */
    FakeProxy withServers(String... ids) {
        List<Server> list = new ArrayList<>();
        for (String id : ids) {
            list.add(new Server(id, 0, list.size() / 2, list.size() / 2, ServerStatus.UP));
        }
        logic.serversChanged(nowUs, ListKind.CACHED, list);
        return this;
    }

    void changeServer(String id, long startedAtUs, ServerStatus status) {
        logic.serversChanged(nowUs, ListKind.CHANGES, List.of(new Server(id, startedAtUs, 0, 0, status)));
    }

    String request(int requestClass) {
        return request(requestClass, 0);
    }

    String request(int requestClass, int tenant) {
        String id = "r" + requestCount++;
        logic.request(nowUs, new Request(id, requestClass, tenant, 1_000 * MS, 0, false));
        return id;
    }

    /** The server of the latest attempt of a request, or null. */
    String latestServer(String request) {
        List<String> servers = serversByRequest.get(request);
        return servers == null ? null : servers.get(servers.size() - 1);
    }

    void endAttempt(String request, Outcome outcome) {
        endAttempt(request, attemptCounts.get(request) - 1, outcome);
    }

    void endAttempt(String request, int attempt, Outcome outcome) {
        logic.outcome(nowUs, request, attempt, serversByRequest.get(request).get(attempt), outcome, 50 * MS,
                outcome == Outcome.OK, null);
    }

    /** Sends a request, has servers that are asked say they are idle, and returns who served it. */
    String serve() {
        String request = request(SAFE);
        reportIdle();
        String server = latestServer(request);
        advanceTime(50);
        endAttempt(request, Outcome.OK);
        return server;
    }

    /** Has every server that was asked say that it is idle. */
    void reportIdle() {
        for (int i = 0; i < probedServers.size(); i++) {
            reportLoad(probedServers.get(i), 0);
        }
        probedServers.clear();
    }

    void reportLoad(String server, int inFlight) {
        logic.probeResult(nowUs, server, Outcome.OK, 1 * MS, new LoadReport(inFlight, Math.max(0, inFlight
                - 1), 0));
    }

    /** Lets time pass and rings the timers that fall due. */
    void advanceTime(long ms) {
        long untilUs = nowUs + ms * MS;
        while (wakeAtUs <= untilUs) {
            nowUs = Math.max(nowUs, wakeAtUs);
            wakeAtUs = Long.MAX_VALUE;
            logic.timer(nowUs);
        }
        nowUs = untilUs;
    }

    int countActions(String prefix) {
        return (int) actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    boolean hasAction(String line) {
        return actions.contains(line);
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
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
