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

    /** Random draws of extra replicas for a server, for each replica; most servers need one or two in all. */
    private static final int MAX_DRAWS_PER_REPLICA = 4;

    private final int replicaIndex;
    private final int replicas;
    private final HashRing ring = new HashRing();
    private List<ServerState> members = List.of();
    /** The result of {@link #allServers()}; empty until it is needed. */
    private List<ServerState> allServers = List.of();
    private long assignmentLookups;

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
        assignmentLookups = 0;
        if (subsetSize < ring.size()) {
            assign(subsetSize);
        } else {
            members = allServers();
        }
    }

    /** The number of pairs of a replica and a server that the last {@link #update} looked up. */
    long assignmentLookups() {
        return assignmentLookups;
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
        // In each round after the bounded ones, every replica that is incomplete gets a server.
        int maxRounds = boundedRounds + subsetSize;
        int incompleteCount = replicas;
        for (int round = 0; round < maxRounds && incompleteCount > 0; round++) {
            int stillIncomplete = 0;
            for (int i = 0; i < incompleteCount; i++) {
                int replica = incomplete[i];
                int pointIndex = ring.firstPointAfter(replica, round);
                if (round < boundedRounds) {
                    assignBelowMaximum(assignment, replica, ring.slotAt(pointIndex), maxReplicas);
                } else {
                    assignment.assign(replica, nextUnassigned(assignment, replica, pointIndex));
                }
                if (assignment.subsetSize(replica) < subsetSize) {
                    incomplete[stillIncomplete++] = replica;
                }
            }
            incompleteCount = stillIncomplete;
        }
        selectMembers(assignment, meanReplicas * MIN_REPLICAS_FACTOR);
        assignmentLookups = assignment.lookups();
    }

    private static void assignBelowMaximum(SubsetAssignment assignment, int replica, int slot,
            int maxReplicas) {
        if (assignment.replicaCount(slot) < maxReplicas && !assignment.isAssigned(replica, slot)) {
            assignment.assign(replica, slot);
        }
    }

    /** The first server, from a point on, that a replica with an incomplete subset does not have yet. */
    private int nextUnassigned(SubsetAssignment assignment, int replica, int firstPointIndex) {
        for (int i = 0; i < ring.pointCount(); i++) {
            int slot = ring.slotAt(firstPointIndex + i);
            if (!assignment.isAssigned(replica, slot)) {
                return slot;
            }
        }
        throw new IllegalStateException("replica " + replica + " has all " + ring.size()
                + " servers in an incomplete subset");
    }

    /**
     * Sets this replica's members: those assigned in the rounds, and the servers with too few replicas of
     * which it is an extra replica.
     *
     * @param minReplicas the number of replicas below which a server gets extra ones
     */
    private void selectMembers(SubsetAssignment assignment, double minReplicas) {
        List<ServerState> ownServers = new ArrayList<>();
        for (int i = 0; i < assignment.subsetSize(replicaIndex); i++) {
            ownServers.add(ring.server(assignment.server(replicaIndex, i)));
        }
        for (int slot = 0; slot < ring.slotCount(); slot++) {
            ServerState server = ring.server(slot);
            if (server != null) {
                int missing = wantedReplicas(server, minReplicas) - assignment.replicaCount(slot);
                if (missing > 0 && drawExtraReplicas(assignment, slot, missing).contains(replicaIndex)) {
                    ownServers.add(server);
                }
            }
        }
        members = List.copyOf(ownServers);
    }

    /**
     * The number of replicas that a server must have at least. The fraction, different for each server, makes
     * servers cross the minimum one by one: otherwise a small change of the mean could add replicas to all
     * servers at once.
     */
    private int wantedReplicas(ServerState server, double minReplicas) {
        int wanted = (int) Math.max(1, minReplicas + HashRing.uniformFraction(server.hash));
        return Math.min(wanted, replicas);
    }

    /**
     * Chooses extra replicas of a server among those that do not use it yet: the server draws replicas, and
     * after a limited number of draws the remaining ones are taken in the order of their indices. So the
     * number of steps is limited whatever the ids of the servers are.
     *
     * @param count the number of extra replicas; at most as many as do not use the server
     */
    private Set<Integer> drawExtraReplicas(SubsetAssignment assignment, int slot, int count) {
        Set<Integer> extraReplicas = new HashSet<>();
        int maxDraws = MAX_DRAWS_PER_REPLICA * replicas;
        for (int i = 0; i < maxDraws + replicas && extraReplicas.size() < count; i++) {
            int candidate = i < maxDraws ? HashRing.draw(ring.server(slot), i, replicas) : i - maxDraws;
            if (!assignment.isAssigned(candidate, slot)) {
                extraReplicas.add(candidate);
            }
        }
        return extraReplicas;
    }
}
