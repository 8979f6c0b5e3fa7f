package passhatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import passhatch.Balancer.Server;

/**
 * The start times of servers. Lists report them by the wall clock of each server's machine, which may be set
 * wrong or adjusted. A start time that is impossible is replaced by the latest possible one, so that no
 * server is treated as warmed up before it is.
 */
final class ServerStarts {

    /** Without this limit the number of servers would grow for ever, as new ones keep coming. */
    private static final int MAX_REMEMBERED = 8_192;
    /** Longest time from the start of a server until lists include it. */
    private static final long MAX_LISTING_DELAY_US = 4_000_000;

    /** A start time as a list reported it, and the one that is used for it. */
    private record StartTime(long reportedUs, long acceptedUs) { }

    /** The start times by the ids of servers, the first added first. */
    private final Map<String, StartTime> startTimes = new LinkedHashMap<>();
    /** When the last list of discovery was received; the least value before the first one. */
    private long lastListUs = Long.MIN_VALUE;

    /** Records that a list of discovery was received and processed. */
    void listReceived(long nowUs) {
        lastListUs = nowUs;
    }

    /** The start time to use for the server, in microseconds; 0 or less for long ago. */
    long startTimeUs(long nowUs, Server server) {
        StartTime previous = startTimes.get(server.id());
        if (previous != null && previous.reportedUs == server.startedAtUs()) {
            return previous.acceptedUs;
        }
        long acceptedUs = server.startedAtUs() <= 0 ? server.startedAtUs()
                : plausibleStartUs(nowUs, server.startedAtUs());
        startTimes.put(server.id(), new StartTime(server.startedAtUs(), acceptedUs));
        Iterator<String> oldestFirst = startTimes.keySet().iterator();
        while (startTimes.size() > MAX_REMEMBERED) {
            oldestFirst.next();
            oldestFirst.remove();
        }
        return acceptedUs;
    }

    /**
     * A start that the last list did not include yet must lie between {@link #MAX_LISTING_DELAY_US} before
     * that list and now; any other is replaced by now.
     */
    private long plausibleStartUs(long nowUs, long reportedUs) {
        boolean tooEarly = lastListUs != Long.MIN_VALUE && reportedUs < lastListUs - MAX_LISTING_DELAY_US;
        return reportedUs > nowUs || tooEarly ? nowUs : reportedUs;
    }
}
