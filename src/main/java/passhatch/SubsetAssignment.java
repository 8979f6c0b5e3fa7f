package passhatch;

/**
 * The assignment of servers to the subsets of replicas. Servers are given by their slots on the
 * {@link HashRing}, replicas by their indices. {@link #assign} alone changes it, so that the counts always
 * agree with the pairs.
 */
final class SubsetAssignment {

    private final int subsetSize;
    private final int maxReplicasPerServer;
    /** The servers of each replica, with {@link #subsetSize} elements for each replica. */
    private final int[] serversByReplica;
    /**
     * The replicas of each server, with {@link #maxReplicasPerServer} elements for each server. Empty where
     * searching the servers of a replica is faster.
     */
    private final int[] replicasByServer;
    /** The number of servers of each replica. */
    private final int[] subsetSizes;
    /** The number of replicas of each server. */
    private final int[] replicaCounts;
    private long lookups;

    /**
     * Creates an assignment without any pair yet.
     *
     * @param replicas the number of replicas
     * @param subsetSize the number of servers of each replica
     * @param servers the number of slots of servers
     * @param maxReplicasPerServer the number of replicas of a server up to which {@link #isAssigned} is fast
     */
    SubsetAssignment(int replicas, int subsetSize, int servers, int maxReplicasPerServer) {
        this.subsetSize = subsetSize;
        this.maxReplicasPerServer = maxReplicasPerServer;
        this.serversByReplica = new int[replicas * subsetSize];
        this.replicasByServer =
                new int[maxReplicasPerServer < subsetSize ? servers * maxReplicasPerServer : 0];
        this.subsetSizes = new int[replicas];
        this.replicaCounts = new int[servers];
    }

    /** The server at an index of a replica's subset. */
    int server(int replica, int index) {
        return serversByReplica[replica * subsetSize + index];
    }

    /** The number of servers of a replica. */
    int subsetSize(int replica) {
        return subsetSizes[replica];
    }

    /** The number of replicas of a server. */
    int replicaCount(int server) {
        return replicaCounts[server];
    }

    /** How often {@link #isAssigned} was called. */
    long lookups() {
        return lookups;
    }

    /** Whether the server is in the subset of the replica. */
    boolean isAssigned(int replica, int server) {
        lookups++;
        return maxReplicasPerServer < subsetSize && replicaCounts[server] <= maxReplicasPerServer
                ? contains(replicasByServer, server * maxReplicasPerServer, replicaCounts[server], replica)
                : contains(serversByReplica, replica * subsetSize, subsetSizes[replica], server);
    }

    /** Adds a server, which must not be assigned to the replica yet, to the replica's subset. */
    void assign(int replica, int server) {
        if (maxReplicasPerServer < subsetSize && replicaCounts[server] < maxReplicasPerServer) {
            replicasByServer[server * maxReplicasPerServer + replicaCounts[server]] = replica;
        }
        serversByReplica[replica * subsetSize + subsetSizes[replica]++] = server;
        replicaCounts[server]++;
    }

    private static boolean contains(int[] array, int start, int length, int value) {
        for (int i = start; i < start + length; i++) {
            if (array[i] == value) {
                return true;
            }
        }
        return false;
    }
}
