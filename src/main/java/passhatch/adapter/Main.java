package passhatch.adapter;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import passhatch.proxy.ProxyServer;
import passhatch.proxy.Rehearsal;

/**
 * The command line. The exit status of the adapter is 0 at the end of its input and 1 after invalid input or
 * a failure of its input or output; a command that is not known ends with 2.
 */
public final class Main {

    private static final String USAGE = "usage: java -jar passhatch.jar adapter|serve|rehearse\n"
            + "  adapter  runs the decision module for a simulator: reads JSON batches of messages from\n"
            + "           standard input and writes one line of actions per batch to standard output\n"
            + "  serve    runs one proxy, configured by the PROXY_ environment variables\n"
            + "  rehearse runs a proxy on loopback, so that the JVM can archive the classes it loads";

    private Main() { }

    /** Runs the command that the only argument names; exits the JVM with its status unless that is 0. */
    public static void main(String[] args) {
        int status = run(args, new FileInputStream(FileDescriptor.in),
                new FileOutputStream(FileDescriptor.out), System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    /**
     * Runs the command that the only argument names.
     *
     * @param in the messages of the adapter; unused by the other commands
     * @param out the actions of the adapter; unused by the other commands
     * @param err the usage text, errors and the log
     * @return the exit status
     */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length == 1 && args[0].equals("serve")) {
            return runInterruptible(() -> ProxyServer.serve(System.getenv(), err));
        }
        if (args.length == 1 && args[0].equals("rehearse")) {
            return runInterruptible(() -> Rehearsal.run(err));
        }
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println(USAGE);
            return 2;
        }
        try {
            new SimulatorAdapter(in, out).serve();
            return 0;
        } catch (InvalidInputException e) {
            err.println("passhatch: " + e.getMessage());
        } catch (IOException e) {
            err.println("passhatch: input or output failed: " + e.getMessage());
        }
        return 1;
    }

    /** A command that blocks and returns its exit status. */
    private interface InterruptibleCommand {
        int run() throws InterruptedException;
    }

    /** Runs the command; an interrupt is kept on the thread and gives status 1. */
    private static int runInterruptible(InterruptibleCommand command) {
        try {
            return command.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
