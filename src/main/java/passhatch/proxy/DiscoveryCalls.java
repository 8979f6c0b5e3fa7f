package passhatch.proxy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.proxy.EventLog.Kind;

/**
 * What became of the calls to discovery: a log line for each call that ends and each list that comes in, and
 * the metrics of both. Times are of the proxy's monotonic clock, in microseconds.
 */
final class DiscoveryCalls {

    /** Servers that a log line on a list names at most. */
    private static final int MAX_NAMED_SERVERS = 12;
    private static final long MICROS_PER_MILLI = 1_000;

    /** How a call ended. */
    enum End {
        /** Its list was complete, or its watch ended after it had spoken. */
        ANSWERED,
        /** No connection came up. */
        NOT_CONNECTED,
        /** A status other than 200. */
        TURNED_AWAY,
        /** The connection ended before anything was told. */
        BROKEN,
        /** No byte came for longer than discovery may be silent. */
        SILENT,
        /** Given up here: it could not be read, or another address took its place. */
        CLOSED_HERE
    }

    /** One call, from its start to its end. */
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

        /** Notes how the call ends; the first reason stands, as the others follow from it. */
        void setEndIfUnset(End newEnd) {
            if (end == null) {
                end = newEnd;
            }
        }

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

    Call begin(String request) {
        return new Call(++callCount, request, clock.nowUs());
    }

    /** A list, a change or a sign of life has come in. */
    void recordMessage() {
        lastMessageUs = clock.nowUs();
        consecutiveFailures = 0;
    }

    /** How long ago discovery last spoke, or this process started. */
    long sinceLastMessageUs() {
        return clock.nowUs() - lastMessageUs;
    }

    long consecutiveFailures() {
        return consecutiveFailures;
    }

    void recordEnd(Call call) {
        call.setEndIfUnset(End.BROKEN);
        callsByEnd.merge(call.end, 1L, Long::sum);
        if (call.end != End.ANSWERED) {
            consecutiveFailures++;
        }
        log.line(Kind.DISCOVERY, call + " ended: " + call.end + " after "
                + toMillis(clock.nowUs() - call.startedUs) + " ms; " + consecutiveFailures
                + " failed in a row, last heard " + toMillis(sinceLastMessageUs()) + " ms ago");
    }

    /** A list was taken in. */
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
        log.line(Kind.DISCOVERY, call + " told list " + list.index() + (list.full() ? " (whole): " : ": ")
                + servers.size() + " servers" + names + (changedCount > MAX_NAMED_SERVERS ? " ..." : ""));
    }

    /** Adds the metrics, one a line. */
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
