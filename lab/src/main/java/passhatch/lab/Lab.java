package passhatch.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line of the laboratory: scale tests of the decision module, of a fleet and of the control path,
 * measurements of latency, and soak runs with faults.
 */
@Command(name = "lab", mixinStandardHelpOptions = true, version = "passhatch-lab 0.1.0",
        description = "Measures the code of the proxy at the fleet sizes that it is planned for.",
        subcommands = {
            AllCommand.class,
            ModuleCommand.class,
            FleetCommand.class,
            ControlCommand.class,
            LatencyCommand.class,
            SoakCommand.class,
            PressureCommand.class,
            LeavingCommand.class,
        })
public final class Lab {

    Lab() { }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }
}
