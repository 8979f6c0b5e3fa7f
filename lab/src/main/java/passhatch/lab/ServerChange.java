package passhatch.lab;

import java.util.Set;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * A change of one server that a replica is shown, and how it is reverted. The constants name rows of the
 * table of {@code lab fleet}.
 */
enum ServerChange {
    /** The server is removed from the list, then added again as a new process. */
    GOES {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.GONE, 0));
            return replica.settledSubset();
        }
    },
    /** A server that was in no list before is added, then removed. */
    COMES {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.UP, replica.nowUs()));
            return replica.settledSubset();
        }

        @Override
        void revert(ObservedReplica replica, Server server) {
            replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.GONE, 0));
        }
    },
    /** The server drains, then returns as a new process. */
    DRAINS {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.DRAINING, 0));
            return replica.settledSubset();
        }
    },
    /** An operator disables the server, then enables it again. */
    DISABLED {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.module().disable(replica.nowUs(), server.id());
            return replica.settledSubset();
        }

        @Override
        void revert(ObservedReplica replica, Server server) {
            replica.module().enable(replica.nowUs(), server.id());
            // A replica sends a reenabled server one call, which the operator looks for, whether or not the
            // server is in its subset. That call is over before the subset is observed.
            replica.settledSubset();
        }
    },
    /** The server refuses connections until the replicas that use it eject it, then accepts them again. */
    RESTS {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.eject(server.id());
            return replica.currentSubset();
        }

        @Override
        void revert(ObservedReplica replica, Server server) { }
    };

    /**
     * Applies the change.
     *
     * @return the ids of the servers that the replica uses afterwards
     */
    abstract Set<String> apply(ObservedReplica replica, Server server);

    /** Reverts the change; the replica settles only with its next {@link ObservedReplica#settledSubset}. */
    void revert(ObservedReplica replica, Server server) {
        replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.UP, replica.nowUs()));
    }
}
