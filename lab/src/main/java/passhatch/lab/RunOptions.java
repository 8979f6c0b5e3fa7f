package passhatch.lab;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options of every scale test: the seed, the number of runs, and where the table is written. */
final class RunOptions {

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
            description = "seed of the first run, run i has N + i (default: ${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--runs", defaultValue = "3", paramLabel = "N",
            description = "runs of each measurement, to show its spread; not for module "
                    + "(default: ${DEFAULT-VALUE})")
    int runs;

    @Option(names = "--out", defaultValue = "lab/results/target", paramLabel = "DIR",
            description = "directory where the tables are written (default: ${DEFAULT-VALUE})")
    Path outputDirectory;

    @Option(names = "--revision", defaultValue = "unknown", paramLabel = "REV",
            description = "git revision of the build, which the tables state")
    String revision;

    /** Creates an empty table with these options. */
    Results createResults(String name) {
        return new Results(outputDirectory, name, seed, revision);
    }
}
