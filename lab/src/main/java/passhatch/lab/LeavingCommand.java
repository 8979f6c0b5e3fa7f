package passhatch.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import passhatch.lab.pressure.LeavingRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Counts the attempts at requests whose clients have left. */
@Command(name = "leaving", mixinStandardHelpOptions = true,
        description = "Clients that leave before their responses, and the attempts that begin after that.")
final class LeavingCommand implements Callable<Integer> {

    @Parameters(arity = "1..*", paramLabel = "BEHIND",
            description = "what follows the sound requests: names of LeavingClients.Behind")
    private String[] behind;

    @Option(names = "--root", defaultValue = ".", paramLabel = "DIR",
            description = "directory of the project, with the service built (default: ${DEFAULT-VALUE})")
    private Path root;

    @Option(names = "--clients", defaultValue = "24",
            description = "clients, each with one connection (default: ${DEFAULT-VALUE})")
    private int clients;

    @Option(names = "--requests", defaultValue = "1",
            description = "sound requests of each client (default: ${DEFAULT-VALUE})")
    private int requests;

    @Option(names = "--uploads", description = "the sound requests have bodies of 60 kB")
    private boolean uploads;

    @Option(names = "--per-write", defaultValue = "1",
            description = "requests behind them that are given to the socket at a time")
    private int perWrite;

    @Option(names = "--leaving", defaultValue = "CLOSE",
            description = "how they leave: CLOSE, RESET, or STAY until they are answered")
    private String leaving;

    @Option(names = "--event", defaultValue = "NONE",
            description = "what happens meanwhile: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE})")
    private LeavingRun.Event event;

    @Option(names = "--runs", defaultValue = "1", description = "runs of each (default: ${DEFAULT-VALUE})")
    private int runs;

    @Option(names = "--details", description = "print metrics and log of the first process too")
    private boolean details;

    @Override
    public Integer call() throws IOException, InterruptedException {
        int late = 0;
        for (String form : behind) {
            for (int i = 0; i < runs; i++) {
                LeavingRun.Report report =
                        LeavingRun.play(root, clients, requests, form, uploads, perWrite, leaving, event);
                late += report.late();
                System.out.println(report.summary());
                if (details) {
                    System.out.println(report.metrics());
                    System.out.println(report.log());
                }
            }
        }
        return late == 0 ? 0 : 1;
    }
}
