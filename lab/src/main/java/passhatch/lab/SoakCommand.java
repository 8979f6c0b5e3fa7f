package passhatch.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.soak.SoakRun;
import passhatch.lab.soak.SoakRun.Report;
import passhatch.lab.soak.SoakRun.Size;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Injects random faults into real proxy processes and checks the calls against the rules of the protocol. */
@Command(name = "soak", mixinStandardHelpOptions = true,
        description = "Runs real proxies under overlapping faults; exit code 1 after a violation of a rule.")
final class SoakCommand implements Callable<Integer> {

    private static final int MAX_VIOLATIONS_SHOWN = 10;

    /** One run of so many has a crowd. */
    private static final int CROWD_EVERY = 3;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
            description = "directory of the project, with the service built (default: ${DEFAULT-VALUE})")
    private Path root;

    @Option(names = "--logs", defaultValue = "lab/target/soak", paramLabel = "DIR",
            description = "directory for configurations and logs (default: ${DEFAULT-VALUE})")
    private Path logDirectory;

    @Option(names = "--seed", defaultValue = "1",
            description = "seed of the first run (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--runs", defaultValue = "1",
            description = "number of runs, each with the next seed (default: ${DEFAULT-VALUE})")
    private int runs;

    @Option(names = "--proxies", defaultValue = "10",
            description = "number of proxy processes, 10 to 40 (default: ${DEFAULT-VALUE})")
    private int proxies;

    @Option(names = "--backends", defaultValue = "10", description = "default: ${DEFAULT-VALUE}")
    private int backends;

    @Option(names = "--seconds", defaultValue = "30",
            description = "length of a run, in seconds (default: ${DEFAULT-VALUE})")
    private int runSeconds;

    @Option(names = "--faults", defaultValue = "1.0", paramLabel = "N",
            description = "mean number of faults that begin per second (default: ${DEFAULT-VALUE})")
    private double faultsPerSecond;

    @Option(names = "--crowd", defaultValue = "130",
            description = "connections without a sound request at each proxy, in every third run "
                    + "(default: ${DEFAULT-VALUE}; a proxy of a run may have 118 clients)")
    private int crowd;

    @Override
    public Integer call() throws IOException, InterruptedException {
        int failedRuns = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            // Runs with an even seed have to ask discovery for changes; in the others it pushes them.
            Size size = new Size(proxies, backends, Duration.ofSeconds(runSeconds), faultsPerSecond,
                    runSeed % 2 == 0, new CallCosts(Duration.ofMillis(20), Duration.ZERO,
                    Duration.ofSeconds(3),
                            proxies, Duration.ofMillis(5)), runSeed % CROWD_EVERY == 0 ? crowd : 0);
            Report report = runOnce(runSeed, size);
            System.out.println(report);
            report.violations().stream().limit(MAX_VIOLATIONS_SHOWN)
                    .forEach(v -> System.out.println("  " + v));
            failedRuns += report.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(runs - failedRuns + " of " + runs + " runs kept all rules");
        return failedRuns == 0 ? 0 : 1;
    }

    private Report runOnce(long runSeed, Size size) throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(root, logDirectory.resolve("seed-" + runSeed), runSeed, size)) {
            run.start();
            return run.execute();
        }
    }
}
