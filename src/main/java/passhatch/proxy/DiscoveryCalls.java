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
    private static final int MOST_NAMED = 12;
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
        void endsBy(End how) {
            if (end == null) {
                end = how;
            }
        }

        boolean wasTurnedAway() {
            return end == End.TURNED_AWAY;
        }

        @Override
        public String toString() {
            return "discovery call " + number + " (" + request + ")";
        }
    }

    private final Clock clock;
    private final EventLog log;
    private final Map<End, Long> ended = new EnumMap<>(End.class);
    private final Map<ServerStatus, Long> changes = new EnumMap<>(ServerStatus.class);
    private long calls;
    private long failuresInRow;
    private long heardUs;

    DiscoveryCalls(Clock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
        this.heardUs = clock.nowUs();
    }

    Call begin(String request) {
        return new Call(++calls, request, clock.nowUs());
    }

    /** A list, a change or a sign of life has come in. */
    void heard() {
        heardUs = clock.nowUs();
        failuresInRow = 0;
    }

    /** How long ago discovery last spoke, or this process started. */
    long silentUs() {
        return clock.nowUs() - heardUs;
    }

    long failuresInRow() {
        return failuresInRow;
    }

    void ended(Call call) {
        call.endsBy(End.BROKEN);
        ended.merge(call.end, 1L, Long::sum);
        if (call.end != End.ANSWERED) {
            failuresInRow++;
        }
        log.line(Kind.DISCOVERY, call + " ended: " + call.end + " after "
                + millis(clock.nowUs() - call.startedUs) + " ms; " + failuresInRow
                + " failed in a row, last heard " + millis(silentUs()) + " ms ago");
    }

    /** A list was taken in. */
    void took(Call call, EndpointList list) {
        StringBuilder named = new StringBuilder();
        List<Server> servers = list.servers();
        int shown = 0;
        for (Server server : servers) {
            changes.merge(server.status(), 1L, Long::sum);
            if (!list.whole() && shown++ < MOST_NAMED) {
                named.append(' ').append(server.id()).append('=').append(server.status());
            }
        }
        log.line(Kind.DISCOVERY, call + " told list " + list.index() + (list.whole() ? " (whole): " : ": ")
                + servers.size() + " servers" + named + (shown > MOST_NAMED ? " ..." : ""));
    }

    /** Adds the metrics, one a line. */
    void metrics(Metrics.Sink lines) {
        lines.add("discovery_calls", calls);
        for (End how : End.values()) {
            lines.add("discovery_ended." + Metrics.lowerCase(how),
                    ended.getOrDefault(how, 0L));
        }
        for (ServerStatus status : ServerStatus.values()) {
            lines.add("servers_told." + Metrics.lowerCase(status),
                    changes.getOrDefault(status, 0L));
        }
        lines.add("discovery_failures_in_row", failuresInRow);
        lines.add("discovery_silent_ms", millis(silentUs()));
    }

    private static long millis(long us) {
        return us / MICROS_PER_MILLI;
    }
}
