package passhatch.lab;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs every scale test with its default options, one after the other, and writes one table. */
@Command(name = "all", mixinStandardHelpOptions = true,
        description = "Runs all scale tests at their full sizes and writes one table.")
final class AllCommand implements Callable<Integer> {

    @Mixin
    private RunOptions options;

    @Override
    public Integer call() throws Exception {
        Results results = options.createResults("scale");
        ProgressLog progress = new ProgressLog();
        List<ScaleTest> scaleTests = List.of(
                new ModuleCommand(),
                new FleetCommand(),
                new ControlCommand(),
                new LatencyCommand());
        for (ScaleTest scaleTest : scaleTests) {
            CommandLine.populateCommand(scaleTest);
            scaleTest.measure(options, results, progress);
        }
        progress.print("done");
        return 0;
    }
}
