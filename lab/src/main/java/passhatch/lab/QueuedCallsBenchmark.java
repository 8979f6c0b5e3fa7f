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

/** Measures the time that the decision module takes for an event while calls are queued. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class QueuedCallsBenchmark extends NoOpActions {

    /** Simulated time between two events. */
    private static final long EVENT_INTERVAL_US = 100;
    private static final long SERVICE_TIME_US = 200_000;
    /** A time limit that no call reaches; also the time of the first event. */
    private static final long UNLIMITED_US = 1_000_000_000_000L;

    /** Number of servers. */
    @Param({"8", "300"})
    int servers;
    /** Number of queued calls. */
    @Param({"1", "100", "1000"})
    int queued;
    /**
     * Whether an operator has disabled all servers; else calls are queued because each server has one call in
     * flight, as many as it can serve in time.
     */
    @Param({"true", "false"})
    boolean out;

    /** A call in flight and its server, both by id. */
    private record SentCall(String request, String server) { }

    private final ArrayDeque<SentCall> sentCalls = new ArrayDeque<>();
    private LeastLoadedBalancer balancer;
    private long nowUs;
    private long requestCount;
    private long eventCount;

    /** Sends a call to each server, then adds the calls that are queued. */
    @Setup
    public void setUp() {
        nowUs = UNLIMITED_US;
        RequestClass longClass = new RequestClass("patient", UNLIMITED_US, UNLIMITED_US, 1, 0, Effect.SAFE,
                DedupScope.ALL, 0);
        RequestClass shortClass = new RequestClass("quick", 2 * SERVICE_TIME_US, 2 * SERVICE_TIME_US, 1, 0,
                Effect.SAFE, DedupScope.ALL, 0);
        balancer = new LeastLoadedBalancer(
                new SettingsBuilder().requestClass(longClass).requestClass(shortClass).build(), 1, this);
        balancer.serversChanged(nowUs, ListKind.CACHED, IntStream.range(0, servers)
                .mapToObj(i -> new Server("s" + i, 0, 0, 0, ServerStatus.UP)).toList());
        while (requestCount < servers) {
            addRequest();
            endOldestCall();
        }
        while (requestCount < 2L * servers) {
            addRequest();
        }
        for (int i = 0; out && i < servers; i++) {
            balancer.disable(nowUs, "s" + i);
        }
        for (int i = 0; i < queued; i++) {
            addRequest();
        }
        if (sentCalls.size() != servers) {
            throw new IllegalStateException(sentCalls.size() + " calls in flight, expected one to each of "
                    + servers + " servers");
        }
    }

    private void addRequest() {
        balancer.request(nowUs, new Request("r" + requestCount++, 0, 0, UNLIMITED_US, 0, false));
    }

    private void endOldestCall() {
        SentCall oldest = sentCalls.poll();
        balancer.outcome(nowUs, oldest.request(), 0, oldest.server(), Outcome.OK, SERVICE_TIME_US, true,
                null);
    }

    /**
     * Measures one event: the load report of a disabled server; or else the end of a call, whose server then
     * gets a queued call, together with the arrival of a request.
     */
    @Benchmark
    public void event() {
        nowUs += EVENT_INTERVAL_US;
        if (out) {
            balancer.probeResult(nowUs, "s" + eventCount++ % servers, Outcome.OK, 1_000,
                    new LoadReport(1, 0, 0));
        } else {
            endOldestCall();
            addRequest();
        }
    }

    /** Creates a benchmark that is set up with these parameters. */
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
        throw new IllegalStateException(request + " was refused, expected it to be queued");
    }

    @Override
    public void fail(String request) {
        throw new IllegalStateException(request + " failed, expected it to be queued");
    }
}
