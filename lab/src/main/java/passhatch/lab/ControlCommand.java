package passhatch.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.Callable;
import passhatch.lab.control.ControlTrial;
import passhatch.lab.control.WatchSize;
import passhatch.lab.discovery.CallCosts;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures the control path: simulated proxies that watch a stand-in discovery over loopback sockets. */
@Command(name = "control", mixinStandardHelpOptions = true,
        description = "The control path: what watches, changes and watches opened anew cost.")
final class ControlCommand implements Callable<Integer>, ScaleTest {

    private static final Duration MAX_CALL_WAIT = Duration.ofSeconds(3);
    private static final int MAX_QUEUED_CALLS = 4_096;

    @Mixin
    private RunOptions options;

    @Option(names = "--sizes", split = ",", converter = SizeConverter.class, paramLabel = "WATCHESxLINES",
            defaultValue = "2000x30,500x300,2000x300,100x3000,4x19000",
            description = "sizes, smaller lists first; one before another with the same list is measured "
                    + "only for its slope (default: ${DEFAULT-VALUE})")
    private List<WatchSize> sizes;

    @Option(names = "--burst", defaultValue = "50", paramLabel = "N",
            description = "backends that change at once (default: ${DEFAULT-VALUE})")
    private int burstSize;

    @Option(names = "--loops", defaultValue = "2", paramLabel = "N",
            description = "event loops of the proxies (default: ${DEFAULT-VALUE})")
    private int eventLoops;

    @Option(names = "--call-us", defaultValue = "200", paramLabel = "US",
            description = "time that discovery takes for a call (default: ${DEFAULT-VALUE})")
    private long callCostUs;

    @Option(names = "--line-us", defaultValue = "4", paramLabel = "US",
            description = "and for each line of its answer (default: ${DEFAULT-VALUE})")
    private long lineCostUs;

    @Option(names = "--pushed",
            description = "proxies take discovery for one that pushes, and repeat calls without the module")
    private boolean listsPushed;

    /** So that picocli names the option at fault. */
    private static final class SizeConverter implements ITypeConverter<WatchSize> {
        @Override
        public WatchSize convert(String text) {
            return WatchSize.of(text);
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        measure(options, options.createResults("control"), new ProgressLog());
        return 0;
    }

    @Override
    public void measure(RunOptions runOptions, Results results, ProgressLog progress)
            throws IOException, InterruptedException {
        results.note("Control path: sizes are watches x lines of the list. Simulated proxies (the real loop, "
                + "discovery client and module) and the stand-in discovery share one process; processor time "
                + "is that of their event loops' threads. Bytes are those of HTTP, without TCP's own. "
                + "Discovery " + (listsPushed ? "counts as one that pushes. "
                : "is asked, as the module says. ")
                + "JVM flags: " + ManagementFactory.getRuntimeMXBean().getInputArguments() + ".");
        results.note("Assumed: discovery takes " + callCostUs + " us for a call and " + lineCostUs
                + " us for each "
                + "line, one call after another; a call waits " + MAX_CALL_WAIT.toSeconds()
                + " s at most, in "
                + "a queue of " + MAX_QUEUED_CALLS + ". Changes go to open watches at once. After the outage "
                + "its history is lost.");
        CallCosts costs = new CallCosts(Duration.of(callCostUs, ChronoUnit.MICROS),
                Duration.of(lineCostUs, ChronoUnit.MICROS), MAX_CALL_WAIT, MAX_QUEUED_CALLS);
        ControlTrial.Plan plan =
                new ControlTrial.Plan(runOptions.runs, burstSize, costs, eventLoops, listsPushed,
                runOptions.seed);
        new ControlTrial(plan, results, progress::print).run(sizes);
    }
}
