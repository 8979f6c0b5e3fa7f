package passhatch.lab.pressure;

import java.io.IOException;

/** Threads for blocking sockets, which end with the process at the latest. */
final class DaemonThreads {

    /** Work on a socket, which ends when the socket breaks. */
    interface SocketWork {
        /** Does the work. */
        void run() throws IOException, InterruptedException;
    }

    private static final long STACK_BYTES = 1 << 18;

    private DaemonThreads() { }

    /** Runs the work on a new thread; a broken connection ends it without a message. */
    static Thread start(SocketWork work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (IOException closed) {
                // What the peers saw is recorded by them.
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }, "pressure", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
