package passhatch.lab;

import java.util.Set;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** What happens to one server of a list, and how it ends. */
enum ServerChange {
    /** It leaves the list, and comes back as a new process. */
    GOES {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.GONE, 0));
            return replica.settledSubset();
        }
    },
    /** A server that no list named before joins, and leaves again. */
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
    /** It drains, and comes back as a new process. */
    DRAINS {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.DRAINING, 0));
            return replica.settledSubset();
        }
    },
    /** It is taken out by hand, and put back. */
    DISABLED {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.module().disable(replica.nowUs(), server.id());
            return replica.settledSubset();
        }

        @Override
        void revert(ObservedReplica replica, Server server) {
            replica.module().enable(replica.nowUs(), server.id());
            // Whoever puts a server back looks for its first call: every copy tries it once.
            replica.settledSubset();
        }
    },
    /** It refuses connections of those that use it, rests there, and recovers. */
    RESTS {
        @Override
        Set<String> apply(ObservedReplica replica, Server server) {
            replica.eject(server.id());
            return replica.currentSubset();
        }

        @Override
        void revert(ObservedReplica replica, Server server) { }
    };

    /** Lets it happen, and returns the servers that the instance uses then. */
    abstract Set<String> apply(ObservedReplica replica, Server server);

    /** Ends it; what follows from that has yet to settle. */
    void revert(ObservedReplica replica, Server server) {
        replica.serverChanged(SampleDeployment.withStatus(server, ServerStatus.UP, replica.nowUs()));
    }
}
