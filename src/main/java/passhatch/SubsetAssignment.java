package passhatch;

/** Which replicas keep to which servers, both by number. */
final class SubsetAssignment {

    private final int subsetSize;
    private final int maxReplicasPerServer;
    /** The servers of each replica, {@link #subsetSize} places for each. */
    private final int[] serversByReplica;
    /** The replicas of each server, up to the bound; not kept where a replica's few servers tell sooner. */
    private final int[] replicasByServer;
    /** How many servers each replica has, and replicas each server. */
    final int[] subsetSizes;
    final int[] replicaCounts;

    /**
     * None yet.
     *
     * @param subsetSize servers of a replica
     * @param maxReplicasPerServer replicas of a server up to which {@link #isAssigned} is asked
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

    int server(int replica, int index) {
        return serversByReplica[replica * subsetSize + index];
    }

    boolean isAssigned(int replica, int server) {
        return maxReplicasPerServer < subsetSize && replicaCounts[server] <= maxReplicasPerServer
                ? contains(replicasByServer, server * maxReplicasPerServer, replicaCounts[server], replica)
                : contains(serversByReplica, replica * subsetSize, subsetSizes[replica], server);
    }

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
