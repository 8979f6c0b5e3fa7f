package passhatch.lab;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.LeastLoadedBalancer;
import passhatch.SettingsBuilder;

/** What an event costs the decision module while calls are queued; one comes every 100 us. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class QueuedCallsBenchmark extends NoOpActions {

    private static final long EVENT_INTERVAL_US = 100;
    private static final long SERVICE_TIME_US = 200_000;
    private static final long UNLIMITED_US = 1_000_000_000_000L;

    @Param({"8", "300"})
    int servers;
    @Param({"1", "100", "1000"})
    int queued;
    /** All servers are out by hand; else each has one call, as many as it can serve in time. */
    @Param({"true", "false"})
    boolean out;

    private record SentCall(String request, String server) { }

    private final ArrayDeque<SentCall> sentCalls = new ArrayDeque<>();
    private LeastLoadedBalancer logic;
    private long nowUs;
    private long requestCount;
    private long eventCount;

    /** Has each server take a call, and lets so many more wait. */
    @Setup
    public void setUp() {
        nowUs = UNLIMITED_US;
        RequestClass longClass = new RequestClass("patient", UNLIMITED_US, UNLIMITED_US, 1, 0, Effect.SAFE,
                DedupScope.ALL, 0);
        RequestClass shortClass =
                new RequestClass("quick", 2 * SERVICE_TIME_US, 2 * SERVICE_TIME_US, 1, 0, Effect.SAFE,
                DedupScope.ALL, 0);
        logic = new LeastLoadedBalancer(new SettingsBuilder().requestClass(longClass).requestClass(
                shortClass).build(), 1,
                this);
        logic.serversChanged(nowUs, ListKind.CACHED, IntStream.range(0, servers)
                .mapToObj(i -> new Server("s" + i, 0, 0, 0, ServerStatus.UP)).toList());
        while (requestCount < servers) {
            addRequest();
            endOldestCall();
        }
        while (requestCount < 2L * servers) {
            addRequest();
        }
        for (int i = 0; out && i < servers; i++) {
            logic.disable(nowUs, "s" + i);
        }
        for (int i = 0; i < queued; i++) {
            addRequest();
        }
        if (sentCalls.size() != servers) {
            throw new IllegalStateException(sentCalls.size() + " calls were sent to " + servers + " servers");
        }
    }

    private void addRequest() {
        logic.request(nowUs, new Request("r" + requestCount++, 0, 0, UNLIMITED_US, 0, false));
    }

    private void endOldestCall() {
        SentCall oldest = sentCalls.poll();
        logic.outcome(nowUs, oldest.request(), 0, oldest.server(), Outcome.OK, SERVICE_TIME_US, true, null);
    }

    /** Servers that are out say what they hold; else one ends a call, takes one queued, and a call comes. */
    @Benchmark
    public void event() {
        nowUs += EVENT_INTERVAL_US;
        if (out) {
            logic.probeResult(nowUs, "s" + eventCount++ % servers, Outcome.OK, 1_000,
                    new LoadReport(1, 0, 0));
        } else {
            endOldestCall();
            addRequest();
        }
    }

    /** A state as the benchmark has it. */
    static QueuedCallsBenchmark create(int servers, int queued, boolean out) {
        QueuedCallsBenchmark benchmark = new QueuedCallsBenchmark();
        benchmark.servers = servers;
        benchmark.queued = queued;
        benchmark.out = out;
        benchmark.setUp();
        return benchmark;
    }

    int inFlight() {
        return sentCalls.size();
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        sentCalls.add(new SentCall(request, server));
    }

    @Override
    public void refuse(String request, long retryAfterUs) {
        throw new IllegalStateException(request + " is refused");
    }

    @Override
    public void fail(String request) {
        throw new IllegalStateException(request + " fails");
    }
}
