package passhatch;

/** Which replicas keep to which servers, both by number. */
final class Pairings {

    private final int most;
    private final int bound;
    /** The servers of each replica, {@link #most} places for each. */
    private final int[] servers;
    /** The replicas of each server, up to the bound; not kept where a replica's few servers tell sooner. */
    private final int[] replicas;
    /** How many servers each replica has, and replicas each server. */
    final int[] held;
    final int[] users;

    /**
     * None yet.
     *
     * @param most servers of a replica
     * @param bound replicas of a server up to which {@link #has} is asked
     */
    Pairings(int replicas, int most, int servers, int bound) {
        this.most = most;
        this.bound = bound;
        this.servers = new int[replicas * most];
        this.replicas = new int[bound < most ? servers * bound : 0];
        this.held = new int[replicas];
        this.users = new int[servers];
    }

    int server(int replica, int i) {
        return servers[replica * most + i];
    }

    boolean has(int replica, int server) {
        return bound < most && users[server] <= bound
                ? contains(replicas, server * bound, users[server], replica)
                : contains(servers, replica * most, held[replica], server);
    }

    void add(int replica, int server) {
        if (bound < most && users[server] < bound) {
            replicas[server * bound + users[server]] = replica;
        }
        servers[replica * most + held[replica]++] = server;
        users[server]++;
    }

    private static boolean contains(int[] array, int from, int many, int value) {
        for (int i = from; i < from + many; i++) {
            if (array[i] == value) {
                return true;
            }
        }
        return false;
    }
}
