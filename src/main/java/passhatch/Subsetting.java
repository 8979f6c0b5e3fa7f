package passhatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which servers each replica of the proxy keeps to. All replicas work out the same assignment from the list
 * alone, whatever its order and history, so none needs to talk to another and each finds its subset again
 * after a restart.
 *
 * <p>Servers stand on a ring, on which each replica has a row of places of its own. In the k-th round every
 * replica that still wants a server asks for the next one after its k-th place, and a server takes
 * replicas up to a bound little over the mean. What an earlier round gave no later one takes back, so where a
 * server goes, its own replicas ask on and few others are moved by them. Counted off by place in the list,
 * half of the fleet would change servers.
 */
final class Subsetting {

    /** Replicas of a server at most, as a multiple of the mean: with less room one change moves many more. */
    private static final double BOUND = 1.3;
    /** A server with fewer than this part of the mean is joined by further replicas, as an extra member. */
    private static final double LEAST = 0.8;
    /** Rounds before the bound is given up, for each wanted server: a third is mostly enough. */
    private static final int ROUNDS = 4;
    private static final int LEAST_ROUNDS = 64;

    private final int replica;
    private final int replicas;
    private final HashRing ring = new HashRing();
    private List<ServerState> members = List.of();
    private List<ServerState> all = List.of();

    Subsetting(int replica, int replicas) {
        this.replica = replica;
        this.replicas = replicas;
    }

    /** The servers that this replica keeps to, those of earlier rounds first. */
    List<ServerState> members() {
        return members;
    }

    /** The members, then all others in the order in which they stand in for members out of use. */
    List<ServerState> all() {
        return all = all.size() < ring.size() ? ring.order(members, replica) : all;
    }

    /**
     * Takes servers off the list, puts others there and assigns anew.
     *
     * @param wanted members of each replica; all servers where there are fewer
     */
    void change(Collection<ServerState> gone, Collection<ServerState> come, int wanted) {
        ring.change(gone, come);
        all = List.of();
        members = List.of();
        if (wanted < ring.size()) {
            assign(wanted);
        } else {
            members = all();
        }
    }

    private void assign(int wanted) {
        double mean = (double) replicas * wanted / ring.size();
        int bound = Math.max((int) Math.ceil(mean), (int) (BOUND * mean));
        int rounds = Math.max(LEAST_ROUNDS, ROUNDS * wanted);
        Pairings pairings = new Pairings(replicas, wanted, ring.slots(), bound);
        int[] asking = new int[replicas];
        for (int r = 0; r < replicas; r++) {
            asking[r] = r;
        }
        for (int k = 0, left = replicas; left > 0; k++) {
            int still = 0;
            for (int i = 0; i < left; i++) {
                int r = asking[i];
                int at = ring.after(r, k);
                while (k >= rounds && pairings.has(r, ring.slot(at))) {
                    at++;
                }
                int s = ring.slot(at);
                if (k >= rounds || pairings.users[s] < bound && !pairings.has(r, s)) {
                    pairings.add(r, s);
                }
                if (pairings.held[r] < wanted) {
                    asking[still++] = r;
                }
            }
            left = still;
        }
        take(pairings, mean * LEAST);
    }

    /** Takes this replica's own servers over, after those that too few keep to have been joined by more. */
    private void take(Pairings pairings, double least) {
        List<ServerState> own = new ArrayList<>();
        for (int i = 0; i < pairings.held[replica]; i++) {
            own.add(ring.server(pairings.server(replica, i)));
        }
        for (int s = 0; s < ring.slots(); s++) {
            ServerState server = ring.server(s);
            // A part of one more or less: else all servers were to be joined at once where the mean changes.
            int users = server == null ? 0 : (int) Math.max(1, least + HashRing.part(server.hash));
            Set<Integer> joined = pairings.users[s] < users ? new HashSet<>() : Set.of();
            for (int k = 0; pairings.users[s] < users; k++) {
                int r = HashRing.draw(server, k, replicas);
                if (!pairings.has(r, s) && joined.add(r)) {
                    pairings.users[s]++;
                    if (r == replica) {
                        own.add(server);
                    }
                }
            }
        }
        members = List.copyOf(own);
    }
}
