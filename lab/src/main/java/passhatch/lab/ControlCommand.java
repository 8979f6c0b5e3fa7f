package passhatch.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.Callable;
import passhatch.lab.control.ControlPathBenchmark;
import passhatch.lab.control.ControlPathSize;
import passhatch.lab.discovery.CallCosts;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures the control path: simulated proxies that watch a simulated discovery over loopback sockets. */
@Command(name = "control", mixinStandardHelpOptions = true,
        description = "Measures the control path: the cost of watches, of changes and of reopened watches.")
final class ControlCommand implements Callable<Integer>, ScaleTest {

    /** Longest time that a call waits in the queue of the simulated discovery. */
    private static final Duration MAX_CALL_WAIT = Duration.ofSeconds(3);
    private static final int MAX_QUEUED_CALLS = 4_096;

    @Mixin
    private RunOptions options;

    @Option(names = "--sizes", split = ",", converter = SizeConverter.class, paramLabel = "WATCHESxLINES",
            defaultValue = "2000x30,500x300,2000x300,100x3000,4x19000",
            description = "sizes, smaller lists first; a size followed by one with the same list is measured "
                    + "only for the slope between both (default: ${DEFAULT-VALUE})")
    private List<ControlPathSize> sizes;

    @Option(names = "--burst", defaultValue = "50", paramLabel = "N",
            description = "number of backends that change at once (default: ${DEFAULT-VALUE})")
    private int burstSize;

    @Option(names = "--loops", defaultValue = "2", paramLabel = "N",
            description = "number of event loops that the proxies share (default: ${DEFAULT-VALUE})")
    private int eventLoops;

    @Option(names = "--call-us", defaultValue = "200", paramLabel = "US",
            description = "time that discovery takes for a call, in us (default: ${DEFAULT-VALUE})")
    private long callCostUs;

    @Option(names = "--line-us", defaultValue = "4", paramLabel = "US",
            description = "additional time for each line of its response, in us (default: ${DEFAULT-VALUE})")
    private long lineCostUs;

    @Option(names = "--pushed",
            description = "proxies treat discovery as one that pushes, and repeat calls without the module")
    private boolean listsPushed;

    /** Reads a size; the command line then names the option whose value is invalid. */
    private static final class SizeConverter implements ITypeConverter<ControlPathSize> {
        @Override
        public ControlPathSize convert(String text) {
            return ControlPathSize.parse(text);
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
                + "discovery client and module) and the simulated discovery share one process; processor "
                + "time is that of their event loops. Bytes are those of HTTP, without TCP headers. "
                + "Discovery " + (listsPushed ? "is treated as one that pushes. "
                        : "is called when the module requests it. ")
                + "JVM flags: " + ManagementFactory.getRuntimeMXBean().getInputArguments() + ".");
        results.note("Assumed: discovery takes " + callCostUs + " us for a call and " + lineCostUs
                + " us for each line, and handles one call at a time; a call waits "
                + MAX_CALL_WAIT.toSeconds() + " s at most, in a queue of " + MAX_QUEUED_CALLS
                + ". Changes are sent to open watches at once. After the outage discovery has "
                + "no history of changes.");
        CallCosts costs = new CallCosts(Duration.of(callCostUs, ChronoUnit.MICROS),
                Duration.of(lineCostUs, ChronoUnit.MICROS), MAX_CALL_WAIT, MAX_QUEUED_CALLS);
        ControlPathBenchmark.Plan plan =
                new ControlPathBenchmark.Plan(runOptions.runs, burstSize, costs, eventLoops,
                listsPushed, runOptions.seed);
        new ControlPathBenchmark(plan, results, progress::print).run(sizes);
    }
}
