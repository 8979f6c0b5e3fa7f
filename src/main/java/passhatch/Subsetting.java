package passhatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the subset of servers that this replica of the proxy uses. All replicas compute the same assignment
 * from the list of servers alone, independently of its order and history. So replicas need not communicate,
 * and each has the same subset again after a restart.
 *
 * <p>Servers have points on a consistent-hashing ring, on which each replica has one position for each round.
 * In a round each replica whose subset is incomplete asks for the next server after its position, and a
 * server accepts replicas up to a limit slightly above the mean. Later rounds do not undo earlier
 * assignments. So when a server is removed, its own replicas take part in further rounds and few other
 * replicas change their servers. If servers were assigned by their index in the list, half of all replicas
 * would change servers.
 */
final class Subsetting {

    /**
     * Maximum number of replicas of a server, as a multiple of the mean. With a lower limit a change of one
     * server would move many more replicas.
     */
    private static final double MAX_REPLICAS_FACTOR = 1.3;
    /**
     * Minimum number of replicas of a server, as a fraction of the mean. A server with fewer is added to the
     * subsets of further replicas as an extra member.
     */
    private static final double MIN_REPLICAS_FACTOR = 0.8;
    /**
     * Rounds in which the maximum applies, for each member of a subset; later rounds ignore it, so that every
     * subset becomes complete. A third of these rounds is mostly enough.
     */
    private static final int BOUNDED_ROUNDS_PER_MEMBER = 4;
    /** Minimum number of rounds in which the maximum applies, for small subsets. */
    private static final int MIN_BOUNDED_ROUNDS = 64;

    private final int replicaIndex;
    private final int replicas;
    private final HashRing ring = new HashRing();
    private List<ServerState> members = List.of();
    /** The result of {@link #allServers()}; empty until it is needed. */
    private List<ServerState> allServers = List.of();

    /**
     * Creates a subset of no servers.
     *
     * @param replicaIndex the index of this replica, from 0
     * @param replicas the number of replicas
     */
    Subsetting(int replicaIndex, int replicas) {
        this.replicaIndex = replicaIndex;
        this.replicas = replicas;
    }

    /** The servers of this replica's subset, those assigned in earlier rounds first. */
    List<ServerState> members() {
        return members;
    }

    /** The members, then all other servers in the order in which they replace unavailable members. */
    List<ServerState> allServers() {
        return allServers = allServers.size() < ring.size()
                ? ring.allServers(members, replicaIndex) : allServers;
    }

    /**
     * Removes and adds servers and computes the assignment again.
     *
     * @param subsetSize the number of members for each replica; all servers where there are fewer
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

    /**
     * Adds extra replicas to the servers that have too few, and sets this replica's members.
     *
     * @param minReplicas the number of replicas below which a server gets extra ones
     */
    private void selectMembers(SubsetAssignment assignment, double minReplicas) {
        List<ServerState> ownServers = new ArrayList<>();
        for (int i = 0; i < assignment.subsetSizes[replicaIndex]; i++) {
            ownServers.add(ring.server(assignment.server(replicaIndex, i)));
        }
        for (int slot = 0; slot < ring.slotCount(); slot++) {
            ServerState server = ring.server(slot);
            // The fraction, different for each server, makes servers cross the minimum one by one: otherwise
            // a small change of the mean could add replicas to all servers at once.
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
