package passhatch.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The laboratory's command line: scale tests of the module, of a fleet and of the control path. */
@Command(name = "lab", mixinStandardHelpOptions = true, version = "passhatch-lab 0.1.0",
        description = "Measures the proxy at the size it is planned for, with its own code.",
        subcommands = {
            AllCommand.class,
            ModuleCommand.class,
            FleetCommand.class,
            ControlCommand.class,
            LatencyCommand.class,
            SoakCommand.class,
        })
public final class Lab {

    Lab() { }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }
}
