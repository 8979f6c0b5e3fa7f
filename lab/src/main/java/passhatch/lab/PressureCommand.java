package passhatch.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import passhatch.lab.pressure.PressureRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Holds memory or time of a deployed proxy and tells what sound requests get beside that. */
@Command(name = "pressure", mixinStandardHelpOptions = true,
        description = "Clients that hold what they can of a deployed proxy, and what sound requests get.")
final class PressureCommand implements Callable<Integer> {

    @Parameters(arity = "1..*", paramLabel = "SCENARIO",
            description = "names of HoldingClient or TimedRequest")
    private String[] scenarios;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
            description = "directory of the project, with the service built (default: ${DEFAULT-VALUE})")
    private Path root;

    @Option(names = "--clients", defaultValue = "341",
            description = "clients at a time; 341 are a third of the descriptors (default: ${DEFAULT-VALUE})")
    private int clients;

    @Option(names = "--memory-mb", defaultValue = "192", description = "limit on memory in the configuration")
    private int memoryMb;

    @Option(names = "--descriptors", defaultValue = "1024",
            description = "limit on descriptors in the configuration (default: ${DEFAULT-VALUE})")
    private int descriptors;

    @Option(names = "--upgrade", description = "start a second process meanwhile")
    private boolean upgrade;

    @Option(names = "--details", description = "print metrics and log of the first process too")
    private boolean details;

    @Override
    public Integer call() throws IOException, InterruptedException {
        for (String scenario : scenarios) {
            try (PressureRun run = new PressureRun(root, memoryMb, descriptors)) {
                if (PressureRun.isTimed(scenario)) {
                    System.out.println(run.time(scenario).summary());
                    continue;
                }
                PressureRun.Report report = run.hold(scenario, clients, upgrade);
                System.out.println(report.summary());
                if (details) {
                    System.out.println(report.metrics());
                    System.out.println(report.log());
                }
            }
        }
        return 0;
    }
}
