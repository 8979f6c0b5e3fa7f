package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Whether this proxy accepts clients and how it closes their connections. The response to {@code /ready}, the
 * client connections, the console and the shutdown all depend on this one state, which the event loop owns.
 */
final class DrainState {

    /**
     * Time between taking the proxy out of service and closing idle connections. The load balancer in front
     * of the proxies sends new connections for another 0.2 s after {@code /ready} first fails, and by the
     * end of this time a client that is sending requests has received a response that closes its connection.
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

    /** Takes the proxy out of service; has no effect if it is out of service or shutting down already. */
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

    /**
     * Returns the proxy to service.
     *
     * @return false if the process is shutting down, which cannot be undone
     */
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

    /** Starts the shutdown: {@code /ready} fails from now on, and the proxy cannot return to service. */
    void beginShutdown() {
        shuttingDown = true;
    }

    /** Closes each connection after its last response, so that its client connects to the other process. */
    void closeAfterResponses() {
        closeAfterResponse = true;
    }

    /** Closes each connection after its last response, and idle connections too. */
    void closeAfterResponsesAndIdle() {
        closeAfterResponse = true;
        closeIdle = true;
    }

    /** Whether the process is shutting down. */
    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Whether new clients are to connect here, as {@code /ready} says. */
    boolean acceptsClients() {
        return !outOfService && !shuttingDown;
    }

    /** Whether a connection is closed after the last response that is pending on it. */
    boolean closesAfterResponse() {
        return closeAfterResponse;
    }

    /** Whether connections without a request in progress are closed. */
    boolean closesIdle() {
        return closeIdle;
    }
}
