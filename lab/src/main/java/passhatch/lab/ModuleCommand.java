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

/** Measures what events cost one instance of the module, each figure in forks with the service's JIT. */
@Command(name = "module", mixinStandardHelpOptions = true,
        description = "The module's costs by servers and copies: decision, change, lists, bytes a server.")
final class ModuleCommand implements Callable<Integer>, Part {

    private static final int FORKS = 2;

    @Mixin
    private RunOptions options;

    @Option(names = "--servers", split = ",", defaultValue = "30,300,3000,19000",
            description = "servers in the list (default: ${DEFAULT-VALUE})")
    private List<Integer> servers;

    @Option(names = "--copies", split = ",", defaultValue = "1,100,1000,19000",
            description = "instances that share them (default: ${DEFAULT-VALUE})")
    private List<Integer> copies;

    @Override
    public Integer call() throws RunnerException {
        measure(options, options.results("module"), new Progress());
        return 0;
    }

    @Override
    public void measure(RunOptions run, Results results, Progress progress) throws RunnerException {
        results.note("Sizes are copies x servers. Times: JMH, " + FORKS + " forks with "
                + "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC, warmed up; runs are iterations over all forks. "
                + "Cold is a fork's first call, warm the second half of its calls. "
                + "Bytes: live heap by difference, names included.");
        for (int s : servers) {
            for (int c : copies) {
                String size = c + " x " + s;
                progress.say("module, " + size);
                for (RunResult result : new Runner(steady(s, c).build()).run()) {
                    addSteady(results, size, result);
                }
                for (RunResult result : new Runner(first(s, c).build()).run()) {
                    addFirst(results, size, result);
                }
                results.add("retained heap a server", size, "bytes", IntStream.range(0, s > 3000 ? 1 : 2)
                        .mapToDouble(i -> RetainedHeap.bytesPerServer(s, c, run.seed + i)).toArray());
            }
        }
    }

    private static ChainedOptionsBuilder common(int servers, int copies) {
        return new OptionsBuilder().verbosity(VerboseMode.SILENT).forks(FORKS)
                .param("servers", Integer.toString(servers)).param("copies", Integer.toString(copies))
                .jvmArgs("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx256m");
    }

    private static ChainedOptionsBuilder steady(int servers, int copies) {
        return common(servers, copies).include(ModuleBench.class.getName() + ".(decision|change|whole.*)$")
                .warmupIterations(3).warmupTime(TimeValue.milliseconds(100))
                .measurementIterations(3).measurementTime(TimeValue.milliseconds(100));
    }

    private static ChainedOptionsBuilder first(int servers, int copies) {
        return common(servers, copies).include(ModuleBench.class.getName() + ".firstList$")
                .warmupIterations(0).measurementIterations(servers > 3000 ? 3 : 20);
    }

    private static void addSteady(Results results, String size, RunResult result) {
        String figure = switch (result.getParams().getBenchmark().replaceAll(".*\\.", "")) {
            case "decision" -> "decision";
            case "change" -> "change of one server";
            case "wholeUnchanged" -> "whole list, unchanged";
            default -> "whole list, one change";
        };
        results.add(figure, size, "us", result.getBenchmarkResults().stream()
                .flatMap(fork -> fork.getIterationResults().stream())
                .mapToDouble(ModuleCommand::us).toArray());
    }

    private static void addFirst(Results results, String size, RunResult result) {
        List<Collection<IterationResult>> forks = result.getBenchmarkResults().stream()
                .map(BenchmarkResult::getIterationResults).toList();
        results.add("first list, cold", size, "us", forks.stream()
                .mapToDouble(calls -> us(calls.iterator().next())).toArray());
        results.add("first list, warm", size, "us", forks.stream()
                .flatMap(calls -> calls.stream().skip((calls.size() + 1) / 2))
                .mapToDouble(ModuleCommand::us).toArray());
    }

    private static double us(IterationResult iteration) {
        return iteration.getPrimaryResult().getScore();
    }
}
