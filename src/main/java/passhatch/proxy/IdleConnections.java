package passhatch.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import passhatch.proxy.BackendPool.Target;

/**
 * The idle connections to the backends. The one used last is reused first, so that those in excess become old
 * and are closed. Not thread-safe; times are in microseconds of the proxy's clock.
 *
 * @param <C> the connections
 */
final class IdleConnections<C extends IdleConnections.Entry> {

    /** Most idle connections kept to one backend. More would only use up the backend's connection table. */
    private static final int MAX_IDLE_PER_BACKEND = 8;
    /**
     * Fraction of the backends' idle time-out after which an idle connection is closed here, so that it is
     * closed before the backend may close it.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** A connection that may be idle. */
    interface Entry {
        /** The backend that it leads to. */
        Target target();

        /** When it became idle. */
        long idleSinceUs();

        /** Whether it can carry a request. */
        boolean isUsable();

        /** Closes it. */
        void close();
    }

    private final Clock clock;
    private final long maxIdleUs;
    /** By backend, the one used last first. */
    private final Map<Target, Deque<C>> byTarget = new HashMap<>();

    /**
     * Creates a set without connections.
     *
     * @param keepaliveUs time after which backends close idle connections; 0 if no connection may be kept
     */
    IdleConnections(Clock clock, long keepaliveUs) {
        this.clock = clock;
        this.maxIdleUs = (long) (keepaliveUs * IDLE_TIMEOUT_FRACTION);
    }

    /** Adds a connection that is idle from now on, and closes the oldest one in excess. */
    void add(C connection) {
        Deque<C> idleToTarget = byTarget.computeIfAbsent(connection.target(), absent -> new ArrayDeque<>());
        idleToTarget.addFirst(connection);
        if (idleToTarget.size() > MAX_IDLE_PER_BACKEND || maxIdleUs <= 0) {
            idleToTarget.pollLast().close();
        }
    }

    /** Removes and returns a connection to the backend that can be used; null if there is none. */
    C take(Target target) {
        Deque<C> idleToTarget = byTarget.get(target);
        while (idleToTarget != null && !idleToTarget.isEmpty()) {
            C connection = idleToTarget.pollFirst();
            if (connection.idleSinceUs() > clock.nowUs() - maxIdleUs && connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** Removes a connection that has been closed, if it is idle. */
    void remove(C connection) {
        Deque<C> idleToTarget = byTarget.get(connection.target());
        if (idleToTarget != null) {
            idleToTarget.remove(connection);
        }
    }

    /** Closes all connections to a backend. */
    void closeAll(Target target) {
        Deque<C> idleToTarget = byTarget.remove(target);
        if (idleToTarget != null) {
            idleToTarget.forEach(Entry::close);
        }
    }

    /** Closes the connections that backends might soon close themselves. */
    void closeOld() {
        long idleSinceLimitUs = clock.nowUs() - maxIdleUs;
        for (Deque<C> idleToTarget : byTarget.values()) {
            while (!idleToTarget.isEmpty() && idleToTarget.peekLast().idleSinceUs() <= idleSinceLimitUs) {
                idleToTarget.pollLast().close();
            }
        }
        byTarget.values().removeIf(Deque::isEmpty);
    }

    /** Closes the connection that has been idle for the longest, if there is one. */
    void closeLongestIdle() {
        C longestIdle = null;
        for (Deque<C> idleToTarget : byTarget.values()) {
            C candidate = idleToTarget.peekLast();
            if (candidate != null
                    && (longestIdle == null || candidate.idleSinceUs() < longestIdle.idleSinceUs())) {
                longestIdle = candidate;
            }
        }
        if (longestIdle != null) {
            byTarget.get(longestIdle.target()).remove(longestIdle);
            longestIdle.close();
        }
    }
}
