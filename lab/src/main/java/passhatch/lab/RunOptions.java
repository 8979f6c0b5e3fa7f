package passhatch.lab;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** What every command takes: the seed, how often it measures, and where its table goes. */
final class RunOptions {

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
            description = "first seed, run i has N + i (default: ${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--runs", defaultValue = "3", paramLabel = "N",
            description = "runs of each figure of the fleet, for its spread (default: ${DEFAULT-VALUE})")
    int runs;

    @Option(names = "--out", defaultValue = "lab/results/target", paramLabel = "DIR",
            description = "directory of the tables (default: ${DEFAULT-VALUE})")
    Path outputDirectory;

    @Option(names = "--revision", defaultValue = "unknown", paramLabel = "REV",
            description = "git revision that was built, for the tables")
    String revision;

    /** A table of these options; it is on disk from its first figure on. */
    Results createResults(String name) {
        return new Results(outputDirectory, name, seed, revision);
    }
}
