package passhatch.proxy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.proxy.EventLog.Kind;

/**
 * Records the calls to discovery: writes a log line for each call that ends and each list that is received,
 * and counts both for the metrics. Times are of the proxy's monotonic clock, in microseconds.
 */
final class DiscoveryCalls {

    /** Most servers that the log line of a change list names. */
    private static final int MAX_NAMED_SERVERS = 12;
    private static final long MICROS_PER_MILLI = 1_000;

    /** How a call ended. The names become metrics and words of log lines. */
    enum End {
        /** The full list that was requested has been received. */
        ANSWERED,
        /** The connection was not established. */
        NOT_CONNECTED,
        /** Discovery answered with a status other than 200. */
        TURNED_AWAY,
        /** The connection failed or was closed, and none of the other reasons applies. */
        BROKEN,
        /** Nothing was received for too long: no response, no sign of life, or not the rest of a list. */
        SILENT,
        /** The proxy closed the connection because a list or line exceeded the size limit. */
        CLOSED_HERE
    }

    /** One call to discovery, from its start to its end. */
    static final class Call {
        private final long number;
        private final String request;
        private final long startedUs;
        private End end;

        private Call(long number, String request, long startedUs) {
            this.number = number;
            this.request = request;
            this.startedUs = startedUs;
        }

        /** Sets how the call ends. The first reason is kept, as later ones are consequences of it. */
        void setEndIfUnset(End newEnd) {
            if (end == null) {
                end = newEnd;
            }
        }

        /** Whether discovery answered with a status other than 200. */
        boolean wasRefused() {
            return end == End.TURNED_AWAY;
        }

        @Override
        public String toString() {
            return "discovery call " + number + " (" + request + ")";
        }
    }

    private final Clock clock;
    private final EventLog log;
    private final Map<End, Long> callsByEnd = new EnumMap<>(End.class);
    private final Map<ServerStatus, Long> serversByStatus = new EnumMap<>(ServerStatus.class);
    private long callCount;
    private long consecutiveFailures;
    private long lastMessageUs;

    DiscoveryCalls(Clock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
        this.lastMessageUs = clock.nowUs();
    }

    /**
     * Starts the record of a call.
     *
     * @param request what is requested, as log lines name it
     */
    Call begin(String request) {
        return new Call(++callCount, request, clock.nowUs());
    }

    /** Notes that a list or an empty line was received, so discovery is alive. */
    void recordMessage() {
        lastMessageUs = clock.nowUs();
        consecutiveFailures = 0;
    }

    /** Time in microseconds since the last message of discovery, or since this object was created. */
    long sinceLastMessageUs() {
        return clock.nowUs() - lastMessageUs;
    }

    /** Calls since the last message of discovery that ended in any way but {@link End#ANSWERED}. */
    long consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Counts and logs the end of a call. A call without a reason counts as {@link End#BROKEN}. */
    void recordEnd(Call call) {
        call.setEndIfUnset(End.BROKEN);
        callsByEnd.merge(call.end, 1L, Long::sum);
        if (call.end != End.ANSWERED) {
            consecutiveFailures++;
        }
        log.line(Kind.DISCOVERY, call + " ended: " + call.end + " after "
                + toMillis(clock.nowUs() - call.startedUs) + " ms; " + consecutiveFailures
                + " consecutive failures, last message " + toMillis(sinceLastMessageUs()) + " ms ago");
    }

    /** Counts and logs the servers of a list that was received. */
    void recordList(Call call, EndpointList list) {
        StringBuilder names = new StringBuilder();
        List<Server> servers = list.servers();
        int changedCount = 0;
        for (Server server : servers) {
            serversByStatus.merge(server.status(), 1L, Long::sum);
            if (!list.full() && changedCount++ < MAX_NAMED_SERVERS) {
                names.append(' ').append(server.id()).append('=').append(server.status());
            }
        }
        log.line(Kind.DISCOVERY, call + " received list " + list.index() + (list.full() ? " (full): " : ": ")
                + servers.size() + " servers" + names + (changedCount > MAX_NAMED_SERVERS ? " ..." : ""));
    }

    /** Adds the metrics of the calls, one per line. */
    void addMetrics(Metrics.Sink lines) {
        lines.add("discovery_calls", callCount);
        for (End end : End.values()) {
            lines.add("discovery_ended." + Metrics.lowerCase(end),
                    callsByEnd.getOrDefault(end, 0L));
        }
        for (ServerStatus status : ServerStatus.values()) {
            lines.add("servers_told." + Metrics.lowerCase(status),
                    serversByStatus.getOrDefault(status, 0L));
        }
        lines.add("discovery_failures_in_row", consecutiveFailures);
        lines.add("discovery_silent_ms", toMillis(sinceLastMessageUs()));
    }

    private static long toMillis(long us) {
        return us / MICROS_PER_MILLI;
    }
}
