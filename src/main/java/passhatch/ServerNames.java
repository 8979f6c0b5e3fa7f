package passhatch;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** Ids of servers: those in lists, and those that operators disabled, which lists do not affect. */
final class ServerNames {

    /**
     * Ids of formerly listed servers that are remembered. Without a limit they would grow for ever, as new
     * servers keep coming.
     */
    private static final int MAX_REMEMBERED = 4096;

    /** Servers in the present list, draining ones included. */
    final Set<String> listed = new HashSet<>();
    /** Servers that operators disabled. They are kept apart from the list, so that no list enables one. */
    final Set<String> disabled = new HashSet<>();
    /**
     * Servers that operators enabled again and that no call has reached since. They are kept by id, as the
     * list may report their restart, or include them again, only later.
     */
    final Set<String> reenabled = new HashSet<>();
    /** Servers that were in any list, the first listed first. */
    private final Set<String> everListed = new LinkedHashSet<>();

    boolean knows(String id) {
        return everListed.contains(id) || disabled.contains(id);
    }

    /** Updates the ids from an entry of a list. */
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
