package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Whether this proxy takes clients. The front's {@code /ready}, the clients' connections, the console and the
 * end of the process all go by this one state, which the loop owns.
 */
final class DrainState {

    /**
     * After a call out of service: the front sends new connections for another 0.2 s after the first no, and
     * by then a client in use has had an answer that ends its connection.
     */
    private static final long IDLE_CLOSE_DELAY_MS = 1_500;

    private final EventLoop loop;
    private boolean outOfService;
    private boolean shuttingDown;
    private boolean closeAfterResponse;
    private boolean closeIdle;
    private Future<?> closeIdleTimer;

    DrainState(EventLoop loop) {
        this.loop = loop;
    }

    /** Takes the proxy out of service; nothing changes where it is out already. */
    void takeOutOfService() {
        if (outOfService || shuttingDown) {
            return;
        }
        outOfService = true;
        closeAfterResponse = true;
        closeIdleTimer = loop.schedule(() -> {
            closeIdle = true;
        }, IDLE_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes clients again; false where the process is about to end. */
    boolean returnToService() {
        if (shuttingDown) {
            return false;
        }
        if (outOfService) {
            outOfService = false;
            closeAfterResponse = false;
            closeIdle = false;
            closeIdleTimer.cancel(false);
        }
        return true;
    }

    /** The process is about to end: it says that it is not ready, and there is no way back. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /** Another process takes its clients: each answer sends one there. */
    void closeAfterResponses() {
        closeAfterResponse = true;
    }

    /** And lets go of its clients: each answer ends its connection, and idle ones are closed. */
    void closeAfterResponsesAndIdle() {
        closeAfterResponse = true;
        closeIdle = true;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Whether new clients are welcome. */
    boolean acceptsClients() {
        return !outOfService && !shuttingDown;
    }

    /** Whether the last answer that a connection owes ends it. */
    boolean closesAfterResponse() {
        return closeAfterResponse;
    }

    /** Whether connections with nothing open are closed. */
    boolean closesIdle() {
        return closeIdle;
    }
}
