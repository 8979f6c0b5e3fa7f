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
    private static final int MOST_REMEMBERED = 8_192;
    /** A server is listed so long after its start at most. */
    private static final long MOST_NOTICE_US = 4_000_000;

    /** A start as a list told it, and as it is taken. */
    private record Start(long toldUs, long takenUs) { }

    private final Map<String, Start> known = new LinkedHashMap<>();
    /** When discovery was last heard; the least value before that. */
    private long heardUs = Long.MIN_VALUE;

    /** A list of discovery has been taken in. */
    void heard(long nowUs) {
        heardUs = nowUs;
    }

    /** Since when the server counts as started; 0 or less for long ago. */
    long startOf(long nowUs, Server server) {
        Start before = known.get(server.id());
        if (before != null && before.toldUs == server.startedAtUs()) {
            return before.takenUs;
        }
        long takenUs = server.startedAtUs() <= 0 ? server.startedAtUs()
                : plausible(nowUs, server.startedAtUs());
        known.put(server.id(), new Start(server.startedAtUs(), takenUs));
        Iterator<String> earliest = known.keySet().iterator();
        while (known.size() > MOST_REMEMBERED) {
            earliest.next();
            earliest.remove();
        }
        return takenUs;
    }

    /** A start that the list before did not have lies between shortly before that list and now. */
    private long plausible(long nowUs, long toldUs) {
        boolean tooEarly = heardUs != Long.MIN_VALUE && toldUs < heardUs - MOST_NOTICE_US;
        return toldUs > nowUs || tooEarly ? nowUs : toldUs;
    }
}
