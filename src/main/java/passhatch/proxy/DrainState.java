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
    private static final long IDLE_ON_MS = 1_500;

    private final EventLoop loop;
    private boolean byHand;
    private boolean ending;
    private boolean answersEnd;
    private boolean idleEnds;
    private Future<?> next;

    DrainState(EventLoop loop) {
        this.loop = loop;
    }

    /** Takes the proxy out of service; nothing changes where it is out already. */
    void outOfService() {
        if (byHand || ending) {
            return;
        }
        byHand = true;
        answersEnd = true;
        next = loop.schedule(() -> {
            idleEnds = true;
        }, IDLE_ON_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes clients again; false where the process is about to end. */
    boolean inService() {
        if (ending) {
            return false;
        }
        if (byHand) {
            byHand = false;
            answersEnd = false;
            idleEnds = false;
            next.cancel(false);
        }
        return true;
    }

    /** The process is about to end: it says that it is not ready, and there is no way back. */
    void end() {
        ending = true;
    }

    /** Another process takes its clients: each answer sends one there. */
    void sendAway() {
        answersEnd = true;
    }

    /** And lets go of its clients: each answer ends its connection, and idle ones are closed. */
    void letGo() {
        answersEnd = true;
        idleEnds = true;
    }

    boolean isEnding() {
        return ending;
    }

    /** Whether new clients are welcome. */
    boolean takesClients() {
        return !byHand && !ending;
    }

    /** Whether the last answer that a connection owes ends it. */
    boolean answersEndConnections() {
        return answersEnd;
    }

    /** Whether connections with nothing open are closed. */
    boolean closesIdle() {
        return idleEnds;
    }
}
