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
    private static final double MAX_REPLICAS_FACTOR = 1.3;
    /** A server with fewer than this part of the mean is joined by further replicas, as an extra member. */
    private static final double MIN_REPLICAS_FACTOR = 0.8;
    /** Rounds before the bound is given up, for each wanted server: a third is mostly enough. */
    private static final int BOUNDED_ROUNDS_PER_MEMBER = 4;
    private static final int MIN_BOUNDED_ROUNDS = 64;

    private final int replicaIndex;
    private final int replicas;
    private final HashRing ring = new HashRing();
    private List<ServerState> members = List.of();
    private List<ServerState> allServers = List.of();

    Subsetting(int replicaIndex, int replicas) {
        this.replicaIndex = replicaIndex;
        this.replicas = replicas;
    }

    /** The servers that this replica keeps to, those of earlier rounds first. */
    List<ServerState> members() {
        return members;
    }

    /** The members, then all others in the order in which they stand in for members out of use. */
    List<ServerState> allServers() {
        return allServers = allServers.size() < ring.size()
                ? ring.allServers(members, replicaIndex) : allServers;
    }

    /**
     * Takes servers off the list, puts others there and assigns anew.
     *
     * @param subsetSize members of each replica; all servers where there are fewer
     */
    void update(Collection<ServerState> removed, Collection<ServerState> added, int subsetSize) {
        ring.update(removed, added);
        allServers = List.of();
        members = List.of();
        if (subsetSize < ring.size()) {
            assign(subsetSize);
        } else {
            members = allServers();
        }
    }

    private void assign(int subsetSize) {
        double meanReplicas = (double) replicas * subsetSize / ring.size();
        int maxReplicas = Math.max((int) Math.ceil(meanReplicas), (int) (MAX_REPLICAS_FACTOR * meanReplicas));
        int boundedRounds = Math.max(MIN_BOUNDED_ROUNDS, BOUNDED_ROUNDS_PER_MEMBER * subsetSize);
        SubsetAssignment assignment =
                new SubsetAssignment(replicas, subsetSize, ring.slotCount(), maxReplicas);
        int[] incomplete = new int[replicas];
        for (int replica = 0; replica < replicas; replica++) {
            incomplete[replica] = replica;
        }
        for (int round = 0, incompleteCount = replicas; incompleteCount > 0; round++) {
            int stillIncomplete = 0;
            for (int i = 0; i < incompleteCount; i++) {
                int replica = incomplete[i];
                int pointIndex = ring.firstPointAfter(replica, round);
                while (round >= boundedRounds && assignment.isAssigned(replica, ring.slotAt(pointIndex))) {
                    pointIndex++;
                }
                int slot = ring.slotAt(pointIndex);
                if (round >= boundedRounds
                        || assignment.replicaCounts[slot] < maxReplicas
                                && !assignment.isAssigned(replica, slot)) {
                    assignment.assign(replica, slot);
                }
                if (assignment.subsetSizes[replica] < subsetSize) {
                    incomplete[stillIncomplete++] = replica;
                }
            }
            incompleteCount = stillIncomplete;
        }
        selectMembers(assignment, meanReplicas * MIN_REPLICAS_FACTOR);
    }

    /** Takes this replica's own servers over, after those that too few keep to have been joined by more. */
    private void selectMembers(SubsetAssignment assignment, double minReplicas) {
        List<ServerState> ownServers = new ArrayList<>();
        for (int i = 0; i < assignment.subsetSizes[replicaIndex]; i++) {
            ownServers.add(ring.server(assignment.server(replicaIndex, i)));
        }
        for (int slot = 0; slot < ring.slotCount(); slot++) {
            ServerState server = ring.server(slot);
            // A part of one more or less: else all servers were to be joined at once where the mean changes.
            int wantedReplicas = server == null ? 0
                    : (int) Math.max(1, minReplicas + HashRing.uniformFraction(server.hash));
            Set<Integer> extraReplicas = assignment.replicaCounts[slot] < wantedReplicas
                    ? new HashSet<>() : Set.of();
            for (int drawIndex = 0; assignment.replicaCounts[slot] < wantedReplicas; drawIndex++) {
                int extraReplica = HashRing.draw(server, drawIndex, replicas);
                if (!assignment.isAssigned(extraReplica, slot) && extraReplicas.add(extraReplica)) {
                    assignment.replicaCounts[slot]++;
                    if (extraReplica == replicaIndex) {
                        ownServers.add(server);
                    }
                }
            }
        }
        members = List.copyOf(ownServers);
    }
}
