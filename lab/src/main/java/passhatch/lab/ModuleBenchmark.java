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
 * Time that the decision module takes for single events, by the number of servers in its list and of replicas
 * that share them. {@link ModuleCommand} runs it with forks, warm-up and the JIT options of the service.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ModuleBenchmark {

    private static final long EVENT_INTERVAL_US = 20_000;
    private static final long SERVICE_TIME_US = 15_000;

    /** Number of servers in the list. */
    @Param({"30", "300", "3000", "19000"})
    public int servers;
    /** Number of replicas that send to these servers. */
    @Param({"1", "100", "1000", "19000"})
    public int replicas;

    private final NoOpActions actions = new NoOpActions();
    private List<Server> fullList;
    private List<Server> listWithoutOne;
    private List<Server> upChange;
    private List<Server> goneChange;
    private List<Server> drainingChange;
    private Balancer module;
    private long nowUs = 1_000_000_000_000L;
    private long nextRequestId;
    private int invocations;

    /** Creates the lists only: {@link #firstList} measures the creation of the module. */
    @Setup(Level.Trial)
    public void createLists() {
        fullList = SampleDeployment.servers(servers, 1);
        Server changed = fullList.get(servers / 2);
        upChange = List.of(changed);
        goneChange = List.of(SampleDeployment.withStatus(changed, ServerStatus.GONE, 0));
        drainingChange = List.of(SampleDeployment.withStatus(changed, ServerStatus.DRAINING, 0));
        List<Server> remaining = new ArrayList<>(fullList);
        remaining.remove(changed);
        listWithoutOne = List.copyOf(remaining);
    }

    private Balancer createModule() {
        Balancer created = new LeastLoadedBalancer(SampleDeployment.settings(replicas, replicas / 2), 42,
                actions);
        created.serversChanged(nowUs, ListKind.CACHED, fullList);
        return created;
    }

    private Balancer sharedModule() {
        if (module == null) {
            module = createModule();
        }
        return module;
    }

    /** Measures a request, its send and its outcome, with one call in flight at a time. */
    @Benchmark
    public void decision() {
        Balancer balancer = sharedModule();
        String id = Long.toString(nextRequestId++);
        nowUs += EVENT_INTERVAL_US;
        balancer.request(nowUs, new Request(id, 0, 0, SampleDeployment.DEADLINE_US, 0, false));
        balancer.outcome(nowUs + SERVICE_TIME_US, id, 0, actions.lastServer, Outcome.OK, SERVICE_TIME_US,
                true, null);
    }

    /** Measures one change list about one server, which in turn is gone, up, draining and up. */
    @Benchmark
    public void changeOneServer() {
        nowUs += EVENT_INTERVAL_US;
        List<Server> changes = switch (invocations++ & 3) {
            case 0 -> goneChange;
            case 2 -> drainingChange;
            default -> upChange;
        };
        sharedModule().serversChanged(nowUs, ListKind.CHANGES, changes);
    }

    /** Measures a full list that changes nothing. */
    @Benchmark
    public void fullListUnchanged() {
        nowUs += EVENT_INTERVAL_US;
        sharedModule().serversChanged(nowUs, ListKind.FULL, fullList);
    }

    /** Measures a full list in which, in turn, one server is missing or present again. */
    @Benchmark
    public void fullListOneChange() {
        nowUs += EVENT_INTERVAL_US;
        sharedModule().serversChanged(nowUs, ListKind.FULL,
                (invocations++ & 1) == 0 ? listWithoutOne : fullList);
    }

    /** Measures the creation of a module and its first list. */
    @Benchmark
    @BenchmarkMode(Mode.SingleShotTime)
    public Balancer firstList() {
        return createModule();
    }
}
