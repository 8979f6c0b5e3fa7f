package passhatch.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import passhatch.lab.latency.LatencyBenchmark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures the latency and the processor time that a proxy in a process of its own adds to a call. */
@Command(name = "latency", mixinStandardHelpOptions = true,
        description = "What the proxy adds to a call at open-loop load: processor time, 50th and 99th "
                + "percentile of the latency.")
final class LatencyCommand implements Callable<Integer>, ScaleTest {

    @Mixin
    private RunOptions options;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
            description = "directory of the project, with the service built (default: ${DEFAULT-VALUE})")
    private Path root;

    @Option(names = "--seconds", defaultValue = "5", paramLabel = "S",
            description = "length of each run, in seconds (default: ${DEFAULT-VALUE})")
    private int runSeconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        measure(options, options.createResults("latency"), new ProgressLog());
        return 0;
    }

    @Override
    public void measure(RunOptions runOptions, Results results, ProgressLog progress)
            throws IOException, InterruptedException {
        try (LatencyBenchmark trial = new LatencyBenchmark(root, results, progress::print)) {
            trial.run(runOptions.runs, Duration.ofSeconds(runSeconds));
        }
    }
}
