package passhatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import passhatch.Balancer.Server;

/**
 * Since when servers count as started, on the module's clock. Lists tell the start as wall time, and the wall
 * clock of a machine may be stepped: a start that cannot be true is taken to be as late as it may be, so that
 * no server passes for warm that is not.
 */
final class ServerStarts {

    /** Servers remembered; ever new ones come, and what nobody forgets grows for good. */
    private static final int MAX_REMEMBERED = 8_192;
    /** A server is listed so long after its start at most. */
    private static final long MAX_LISTING_DELAY_US = 4_000_000;

    /** A start as a list told it, and as it is taken. */
    private record StartTime(long reportedUs, long acceptedUs) { }

    private final Map<String, StartTime> startTimes = new LinkedHashMap<>();
    /** When discovery was last heard; the least value before that. */
    private long lastListUs = Long.MIN_VALUE;

    /** A list of discovery has been taken in. */
    void listReceived(long nowUs) {
        lastListUs = nowUs;
    }

    /** Since when the server counts as started; 0 or less for long ago. */
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

    /** A start that the list before did not have lies between shortly before that list and now. */
    private long plausibleStartUs(long nowUs, long reportedUs) {
        boolean tooEarly = lastListUs != Long.MIN_VALUE && reportedUs < lastListUs - MAX_LISTING_DELAY_US;
        return reportedUs > nowUs || tooEarly ? nowUs : reportedUs;
    }
}
