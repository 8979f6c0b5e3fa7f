package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import passhatch.Balancer;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.LeastLoadedBalancer;

/**
 * What single events cost the module, by servers in its list and instances that share them. Run by
 * {@link ModuleCommand}, which sets forks, warm-up and the service's JIT.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ModuleBench {

    private static final long GAP_US = 20_000;
    private static final long SERVED_IN_US = 15_000;

    @Param({"30", "300", "3000", "19000"})
    public int servers;
    @Param({"1", "100", "1000", "19000"})
    public int copies;

    private final NoActions actions = new NoActions();
    private List<Server> list;
    private List<Server> fewer;
    private List<Server> up;
    private List<Server> gone;
    private List<Server> draining;
    private Balancer module;
    private long nowUs = 1_000_000_000_000L;
    private long requests;
    private int turn;

    /** The lists alone: what {@link #firstList} starts from. */
    @Setup(Level.Trial)
    public void lists() {
        list = Sites.servers(servers, 1);
        Server changed = list.get(servers / 2);
        up = List.of(changed);
        gone = List.of(Sites.with(changed, ServerStatus.GONE, 0));
        draining = List.of(Sites.with(changed, ServerStatus.DRAINING, 0));
        List<Server> without = new ArrayList<>(list);
        without.remove(changed);
        fewer = List.copyOf(without);
    }

    private Balancer withList() {
        Balancer fresh = new LeastLoadedBalancer(Sites.settings(copies, copies / 2), 42, actions);
        fresh.serversChanged(nowUs, ListKind.CACHED, list);
        return fresh;
    }

    private Balancer module() {
        if (module == null) {
            module = withList();
        }
        return module;
    }

    /** A request, its send and its outcome; one call in flight at a time. */
    @Benchmark
    public void decision() {
        Balancer m = module();
        String id = Long.toString(requests++);
        nowUs += GAP_US;
        m.request(nowUs, new Request(id, 0, 0, Sites.DEADLINE_US, 0, false));
        m.outcome(nowUs + SERVED_IN_US, id, 0, actions.server, Outcome.OK, SERVED_IN_US, true, null);
    }

    /** A list that tells of one server: gone, back, draining and back in turn; the time is one list's. */
    @Benchmark
    public void change() {
        nowUs += GAP_US;
        List<Server> told = switch (turn++ & 3) {
            case 0 -> gone;
            case 2 -> draining;
            default -> up;
        };
        module().serversChanged(nowUs, ListKind.CHANGES, told);
    }

    /** A whole list that says what is known. */
    @Benchmark
    public void wholeUnchanged() {
        nowUs += GAP_US;
        module().serversChanged(nowUs, ListKind.FULL, list);
    }

    /** A whole list in which one server is missing, or back, in turn. */
    @Benchmark
    public void wholeOneChange() {
        nowUs += GAP_US;
        module().serversChanged(nowUs, ListKind.FULL, (turn++ & 1) == 0 ? fewer : list);
    }

    /** A new instance and its first list. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Balancer firstList() {
        return withList();
    }
}
