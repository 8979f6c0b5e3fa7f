package passhatch;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** The ids of servers: what lists named, and what was disabled by hand, whatever lists say. */
final class ServerNames {

    /** Servers remembered as once listed; ever new ones come, and what nobody forgets grows for good. */
    private static final int MOST_NAMED = 4096;

    /** All that the latest list names. */
    final Set<String> inList = new HashSet<>();
    /** Servers taken out by hand. They are kept beside the list, so that no list brings one back. */
    final Set<String> out = new HashSet<>();
    /**
     * Servers put back by hand that no call has reached since; by id, as the list may tell of their restart,
     * or bring them again, only later.
     */
    final Set<String> returned = new HashSet<>();
    /** All that lists ever named, the earliest named first. */
    private final Set<String> named = new LinkedHashSet<>();

    boolean knows(String id) {
        return named.contains(id) || out.contains(id);
    }

    /** Takes in a line of a list. */
    void add(Server line) {
        if (line.status() == ServerStatus.GONE) {
            inList.remove(line.id());
        } else {
            inList.add(line.id());
        }
        named.add(line.id());
        Iterator<String> earliest = named.iterator();
        while (named.size() > MOST_NAMED + inList.size() + out.size()) {
            String id = earliest.next();
            if (!inList.contains(id) && !out.contains(id)) {
                earliest.remove();
                returned.remove(id);
            }
        }
    }
}
