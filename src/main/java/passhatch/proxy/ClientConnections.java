package passhatch.proxy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import passhatch.proxy.EventLog.Kind;

/**
 * The open client connections. Their number is limited, as descriptors are: at the limit a connection is
 * closed for each new one, if there is one whose client loses nothing that it may expect. Used by the event
 * loop only; times are in microseconds of the proxy's clock.
 */
final class ClientConnections {

    /** Idle time after which a connection that has served a request may be evicted. */
    private static final long MIN_IDLE_BEFORE_EVICTION_US = 2_000_000;
    /** A client that has a request to send delivers its first bytes within this time of connecting. */
    static final long NEW_CONNECTION_GRACE_US = 100_000;
    /** A client that accepts no byte of a response for this long may be evicted. */
    private static final long MAX_WRITE_STALL_US = 4_000_000;
    /**
     * Fraction of the maximum above which a new connection is provisional: if others need its place, it loses
     * it unless its first request arrives at once. So clients that never complete a request cannot hold all
     * places, and slow clients that were there before keep theirs.
     */
    private static final double PROVISIONAL_FRACTION = 0.8;

    /** Why a connection may be closed for a new one. The first reasons are chosen first. */
    enum EvictionReason {
        LINGERING("its last response is sent"),
        SILENT("no request has begun on it"),
        IDLE("it is idle"),
        TOO_SLOW("its request is received too slowly"),
        RESPONSE_UNREAD("its client does not read the response"),
        PROVISIONAL("its first request did not arrive at once");

        private final String text;

        EvictionReason(String text) {
            this.text = text;
        }
    }

    /** A connection that may be closed for a new one. */
    private record Candidate(ClientConnection connection, EvictionReason reason) {
        /** Whether to evict this one rather than the other, which is older or null. */
        boolean isBetterThan(Candidate other) {
            if (other == null || reason != other.reason) {
                return other == null || reason.compareTo(other.reason) < 0;
            }
            return switch (reason) {
                case IDLE -> connection.idleSinceUs() < other.connection.idleSinceUs();
                case PROVISIONAL -> connection.lastReceivedUs() < other.connection.lastReceivedUs();
                default -> false;
            };
        }
    }

    private final EventLog log;
    /** In the order of connecting. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Open connections that were made above {@link #PROVISIONAL_FRACTION}. */
    private final Set<ClientConnection> provisional = new LinkedHashSet<>();
    private int maximum;
    private final long[] evictions = new long[EvictionReason.values().length];
    /** Requests that were rejected because others needed the memory that they held. */
    private long gaveUpMemory;
    private final long[] closes = new long[CloseReason.values().length];

    /**
     * Creates a set without connections.
     *
     * @param maximum maximum number of open connections, for the new one at its arrival too
     */
    ClientConnections(EventLog log, int maximum) {
        this.log = log;
        this.maximum = maximum;
    }

    void setMaximum(int newMaximum) {
        maximum = newMaximum;
    }

    void add(ClientConnection connection) {
        if (isAboveFraction(PROVISIONAL_FRACTION)) {
            provisional.add(connection);
        }
        connections.add(connection);
    }

    /** Removes a connection that is closed, and counts why it is. */
    void remove(ClientConnection connection) {
        if (connections.remove(connection)) {
            closes[connection.closeReason().ordinal()]++;
        }
        provisional.remove(connection);
    }

    /** How many connections may be added before the maximum is reached. */
    int freePlaces() {
        return Math.max(0, maximum - connections.size());
    }

    /** Whether more than the given fraction of the maximum is open. */
    boolean isAboveFraction(double fraction) {
        return connections.size() > maximum * fraction;
    }

    Stream<ClientConnection> stream() {
        return connections.stream();
    }

    /** The connections that are open now, in a list that does not change when they are closed. */
    List<ClientConnection> snapshot() {
        return List.copyOf(connections);
    }

    /** Closes connections until there is a free place, or none is left that may be closed for a new one. */
    void evictUntilPlaceIsFree(long nowUs) {
        while (freePlaces() == 0) {
            Candidate candidate = findCandidate(nowUs);
            if (candidate == null) {
                return;
            }
            // Input may have arrived unread that makes it a connection in use.
            candidate.connection().readUnlessLingering();
            if (connections.contains(candidate.connection())
                    && evictionReason(candidate.connection(), nowUs) == candidate.reason()) {
                evict(candidate);
            }
        }
    }

    private void evict(Candidate candidate) {
        log.line(Kind.EVICTION, connections.size() + " client connections are open, which is the maximum: "
                + "closing one, as " + candidate.reason().text);
        evictions[candidate.reason().ordinal()]++;
        candidate.connection().evict();
        remove(candidate.connection());
    }

    /**
     * Rejects the incomplete request that has held most memory for longest.
     *
     * @param requester the account for which memory is needed
     * @return false if that request is the requester's own, or there is none that holds much
     */
    boolean reclaimMemory(MemoryAccount requester) {
        ClientConnection heaviest = null;
        double maxWeight = requester.weight();
        for (ClientConnection connection : connections) {
            double weight = connection.memory().weight();
            if (weight > maxWeight && connection.memory() != requester && connection.isReceivingRequest()) {
                heaviest = connection;
                maxWeight = weight;
            }
        }
        if (heaviest == null) {
            return false;
        }
        gaveUpMemory++;
        FailureIsolation.run(log, "the rejection of a request for its memory", heaviest::giveUpMemory,
                heaviest::abort);
        return true;
    }

    private Candidate findCandidate(long nowUs) {
        Candidate best = null;
        for (ClientConnection connection : connections) {
            EvictionReason reason = evictionReason(connection, nowUs);
            if (reason != null) {
                Candidate candidate = new Candidate(connection, reason);
                best = candidate.isBetterThan(best) ? candidate : best;
            }
        }
        return best;
    }

    /** Why the connection may be closed for a new one; null if it may not. */
    private EvictionReason evictionReason(ClientConnection connection, long nowUs) {
        if (connection.isLingering()) {
            return EvictionReason.LINGERING;
        }
        if (connection.isIdle()) {
            return idleEvictionReason(connection, nowUs);
        }
        if (connection.isTooSlowIfContended(nowUs)) {
            return EvictionReason.TOO_SLOW;
        }
        if (connection.isWriteStalled(nowUs, MAX_WRITE_STALL_US)) {
            return EvictionReason.RESPONSE_UNREAD;
        }
        boolean hasArrivedAtOnce = connection.hasHadRequest()
                || nowUs - connection.connectedAtUs() < NEW_CONNECTION_GRACE_US;
        return provisional.contains(connection) && connection.isReceivingRequest() && !hasArrivedAtOnce
                ? EvictionReason.PROVISIONAL : null;
    }

    private static EvictionReason idleEvictionReason(ClientConnection connection, long nowUs) {
        long idleUs = nowUs - connection.idleSinceUs();
        if (connection.hasSentResponse()) {
            return idleUs >= MIN_IDLE_BEFORE_EVICTION_US ? EvictionReason.IDLE : null;
        }
        return idleUs >= NEW_CONNECTION_GRACE_US ? EvictionReason.SILENT : null;
    }

    /** Adds the number of open connections and of evictions by reason. */
    void addMetrics(Metrics.Sink sink) {
        sink.add("clients.connections", connections.size());
        sink.add("clients.connections_limit", maximum);
        sink.add("memory.requests_reclaimed", gaveUpMemory);
        for (EvictionReason reason : EvictionReason.values()) {
            sink.add("clients.evicted." + Metrics.lowerCase(reason), evictions[reason.ordinal()]);
        }
        for (CloseReason reason : CloseReason.values()) {
            sink.add("clients.closed." + Metrics.lowerCase(reason), closes[reason.ordinal()]);
        }
    }
}
