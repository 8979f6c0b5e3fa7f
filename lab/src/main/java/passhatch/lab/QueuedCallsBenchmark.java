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
public class QueuedCallsBenchmark extends NoActions {

    private static final long STEP_US = 100;
    private static final long CALL_US = 200_000;
    private static final long PATIENCE_US = 1_000_000_000_000L;

    @Param({"8", "300"})
    int servers;
    @Param({"1", "100", "1000"})
    int queued;
    /** All servers are out by hand; else each has one call, as many as it can serve in time. */
    @Param({"true", "false"})
    boolean out;

    private record Sent(String request, String server) { }

    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private LeastLoadedBalancer logic;
    private long nowUs;
    private long requests;
    private long events;

    /** Has each server take a call, and lets so many more wait. */
    @Setup
    public void fill() {
        nowUs = PATIENCE_US;
        RequestClass patient = new RequestClass("patient", PATIENCE_US, PATIENCE_US, 1, 0, Effect.SAFE,
                DedupScope.ALL, 0);
        RequestClass quick = new RequestClass("quick", 2 * CALL_US, 2 * CALL_US, 1, 0, Effect.SAFE,
                DedupScope.ALL, 0);
        logic = new LeastLoadedBalancer(new SettingsBuilder().requestClass(patient).requestClass(
                quick).build(), 1, this);
        logic.serversChanged(nowUs, ListKind.CACHED, IntStream.range(0, servers)
                .mapToObj(i -> new Server("s" + i, 0, 0, 0, ServerStatus.UP)).toList());
        while (requests < servers) {
            request();
            serve();
        }
        while (requests < 2L * servers) {
            request();
        }
        for (int i = 0; out && i < servers; i++) {
            logic.disable(nowUs, "s" + i);
        }
        for (int i = 0; i < queued; i++) {
            request();
        }
        if (sent.size() != servers) {
            throw new IllegalStateException(sent.size() + " calls were sent to " + servers + " servers");
        }
    }

    private void request() {
        logic.request(nowUs, new Request("r" + requests++, 0, 0, PATIENCE_US, 0, false));
    }

    private void serve() {
        Sent oldest = sent.poll();
        logic.outcome(nowUs, oldest.request(), 0, oldest.server(), Outcome.OK, CALL_US, true, null);
    }

    /** Servers that are out say what they hold; else one ends a call, takes one queued, and a call comes. */
    @Benchmark
    public void event() {
        nowUs += STEP_US;
        if (out) {
            logic.probeResult(nowUs, "s" + events++ % servers, Outcome.OK, 1_000, new LoadReport(1, 0, 0));
        } else {
            serve();
            request();
        }
    }

    /** A state as the benchmark has it. */
    static QueuedCallsBenchmark with(int servers, int queued, boolean out) {
        QueuedCallsBenchmark made = new QueuedCallsBenchmark();
        made.servers = servers;
        made.queued = queued;
        made.out = out;
        made.fill();
        return made;
    }

    int inFlight() {
        return sent.size();
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        sent.add(new Sent(request, server));
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
