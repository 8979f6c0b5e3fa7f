package passhatch.lab;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import org.openjdk.jmh.results.BenchmarkResult;
import org.openjdk.jmh.results.IterationResult;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures the time that events take in one instance of the decision module, in forked JVMs with the JIT
 * options of the service, and the heap that it retains. A replica is called a copy in options and results.
 */
@Command(name = "module", mixinStandardHelpOptions = true,
        description = "Costs of the module by servers and copies: decision, change, lists, bytes a server.")
final class ModuleCommand implements Callable<Integer>, ScaleTest {

    private static final int FORKS = 2;

    @Mixin
    private RunOptions options;

    @Option(names = "--servers", split = ",", defaultValue = "30,300,3000,19000",
            description = "numbers of servers in the list (default: ${DEFAULT-VALUE})")
    private List<Integer> servers;

    @Option(names = "--copies", split = ",", defaultValue = "1,100,1000,19000",
            description = "numbers of copies of the proxy that share the servers (default: ${DEFAULT-VALUE})")
    private List<Integer> replicas;

    @Override
    public Integer call() throws RunnerException {
        measure(options, options.createResults("module"), new ProgressLog());
        return 0;
    }

    @Override
    public void measure(RunOptions runOptions, Results results, ProgressLog progress) throws RunnerException {
        results.note("Sizes are copies x servers. Times: JMH, " + FORKS + " forks with "
                + "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC, warmed up; runs are iterations over all forks. "
                + "Cold is the first call of a fork, warm the second half of its calls. "
                + "Bytes: growth of the live heap, names of servers included.");
        for (int serverCount : servers) {
            for (int replicaCount : replicas) {
                String size = replicaCount + " x " + serverCount;
                progress.print("module, " + size);
                for (RunResult result
                        : new Runner(steadyStateOptions(serverCount, replicaCount).build()).run()) {
                    addSteadyState(results, size, result);
                }
                for (RunResult result
                        : new Runner(firstListOptions(serverCount, replicaCount).build()).run()) {
                    addFirstList(results, size, result);
                }
                results.add("retained heap a server", size, "bytes",
                        IntStream.range(0, serverCount > 3000 ? 1 : 2)
                                .mapToDouble(i -> RetainedHeap.bytesPerServer(
                                        serverCount, replicaCount, runOptions.seed + i))
                                .toArray());
            }
        }
    }

    private static ChainedOptionsBuilder commonOptions(int servers, int replicas) {
        return new OptionsBuilder().verbosity(VerboseMode.SILENT).forks(FORKS)
                .param("servers", Integer.toString(servers)).param("replicas", Integer.toString(replicas))
                .jvmArgs("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx256m");
    }

    private static ChainedOptionsBuilder steadyStateOptions(int servers, int replicas) {
        return commonOptions(servers, replicas)
                .include(ModuleBenchmark.class.getName() + ".(decision|changeOneServer|fullList.*)$")
                .warmupIterations(3).warmupTime(TimeValue.milliseconds(100))
                .measurementIterations(3).measurementTime(TimeValue.milliseconds(100));
    }

    private static ChainedOptionsBuilder firstListOptions(int servers, int replicas) {
        return commonOptions(servers, replicas).include(ModuleBenchmark.class.getName() + ".firstList$")
                .warmupIterations(0).measurementIterations(servers > 3000 ? 3 : 20);
    }

    private static void addSteadyState(Results results, String size, RunResult result) {
        String measurement = switch (result.getParams().getBenchmark().replaceAll(".*\\.", "")) {
            case "decision" -> "decision";
            case "changeOneServer" -> "change of one server";
            case "fullListUnchanged" -> "whole list, unchanged";
            default -> "whole list, one change";
        };
        results.add(measurement, size, "us", result.getBenchmarkResults().stream()
                .flatMap(fork -> fork.getIterationResults().stream())
                .mapToDouble(ModuleCommand::scoreUs).toArray());
    }

    private static void addFirstList(Results results, String size, RunResult result) {
        List<Collection<IterationResult>> forks = result.getBenchmarkResults().stream()
                .map(BenchmarkResult::getIterationResults).toList();
        results.add("first list, cold", size, "us", forks.stream()
                .mapToDouble(calls -> scoreUs(calls.iterator().next())).toArray());
        results.add("first list, warm", size, "us", forks.stream()
                .flatMap(calls -> calls.stream().skip((calls.size() + 1) / 2))
                .mapToDouble(ModuleCommand::scoreUs).toArray());
    }

    private static double scoreUs(IterationResult iteration) {
        return iteration.getPrimaryResult().getScore();
    }
}
