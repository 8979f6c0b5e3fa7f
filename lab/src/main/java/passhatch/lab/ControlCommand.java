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
final class ControlCommand implements Callable<Integer>, Part {

    private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);
    private static final int LONGEST_QUEUE = 4_096;

    @Mixin
    private RunOptions options;

    @Option(names = "--sizes", split = ",", converter = SizeConverter.class, paramLabel = "WATCHESxLINES",
            defaultValue = "2000x30,500x300,2000x300,100x3000,4x19000",
            description = "sizes, smaller lists first; one before another with the same list is measured "
                    + "only for its slope (default: ${DEFAULT-VALUE})")
    private List<WatchSize> sizes;

    @Option(names = "--burst", defaultValue = "50", paramLabel = "N",
            description = "backends that change at once (default: ${DEFAULT-VALUE})")
    private int burst;

    @Option(names = "--loops", defaultValue = "2", paramLabel = "N",
            description = "event loops of the proxies (default: ${DEFAULT-VALUE})")
    private int loops;

    @Option(names = "--call-us", defaultValue = "200", paramLabel = "US",
            description = "time that discovery takes for a call (default: ${DEFAULT-VALUE})")
    private long callUs;

    @Option(names = "--line-us", defaultValue = "4", paramLabel = "US",
            description = "and for each line of its answer (default: ${DEFAULT-VALUE})")
    private long lineUs;

    @Option(names = "--pushed",
            description = "proxies take discovery for one that pushes, and repeat calls without the module")
    private boolean pushed;

    /** So that picocli names the option at fault. */
    private static final class SizeConverter implements ITypeConverter<WatchSize> {
        @Override
        public WatchSize convert(String text) {
            return WatchSize.of(text);
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        measure(options, options.results("control"), new Progress());
        return 0;
    }

    @Override
    public void measure(RunOptions run, Results results, Progress progress)
            throws IOException, InterruptedException {
        results.note("Control path: sizes are watches x lines of the list. Simulated proxies (the real loop, "
                + "discovery client and module) and the stand-in discovery share one process; processor time "
                + "is that of their event loops' threads. Bytes are those of HTTP, without TCP's own. "
                + "Discovery " + (pushed ? "counts as one that pushes. " : "is asked, as the module says. ")
                + "JVM flags: " + ManagementFactory.getRuntimeMXBean().getInputArguments() + ".");
        results.note("Assumed: discovery takes " + callUs + " us for a call and " + lineUs + " us for each "
                + "line, one call after another; a call waits " + LONGEST_WAIT.toSeconds() + " s at most, in "
                + "a queue of " + LONGEST_QUEUE + ". Changes go to open watches at once. After the outage "
                + "its history is lost.");
        CallCosts costs = new CallCosts(Duration.of(callUs, ChronoUnit.MICROS),
                Duration.of(lineUs, ChronoUnit.MICROS), LONGEST_WAIT, LONGEST_QUEUE);
        ControlTrial.Plan plan = new ControlTrial.Plan(run.runs, burst, costs, loops, pushed, run.seed);
        new ControlTrial(plan, results, progress::say).run(sizes);
    }
}
