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
    private static final int MAX_REMEMBERED = 4096;

    /** All that the latest list names. */
    final Set<String> listed = new HashSet<>();
    /** Servers taken out by hand. They are kept beside the list, so that no list brings one back. */
    final Set<String> disabled = new HashSet<>();
    /**
     * Servers put back by hand that no call has reached since; by id, as the list may tell of their restart,
     * or bring them again, only later.
     */
    final Set<String> reenabled = new HashSet<>();
    /** All that lists ever named, the earliest named first. */
    private final Set<String> everListed = new LinkedHashSet<>();

    boolean knows(String id) {
        return everListed.contains(id) || disabled.contains(id);
    }

    /** Takes in a line of a list. */
    void update(Server server) {
        if (server.status() == ServerStatus.GONE) {
            listed.remove(server.id());
        } else {
            listed.add(server.id());
        }
        everListed.add(server.id());
        Iterator<String> oldestFirst = everListed.iterator();
        while (everListed.size() > MAX_REMEMBERED + listed.size() + disabled.size()) {
            String id = oldestFirst.next();
            if (!listed.contains(id) && !disabled.contains(id)) {
                oldestFirst.remove();
                reenabled.remove(id);
            }
        }
    }
}
