package passhatch.lab;

import java.util.Set;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** What happens to one server of a list, and how it ends. */
enum Change {
    /** It leaves the list, and comes back as a new process. */
    GOES {
        @Override
        Set<String> begin(ObservedInstance instance, Server server) {
            instance.change(Sites.with(server, ServerStatus.GONE, 0));
            return instance.settledSubset();
        }
    },
    /** A server that no list named before joins, and leaves again. */
    COMES {
        @Override
        Set<String> begin(ObservedInstance instance, Server server) {
            instance.change(Sites.with(server, ServerStatus.UP, instance.nowUs()));
            return instance.settledSubset();
        }

        @Override
        void end(ObservedInstance instance, Server server) {
            instance.change(Sites.with(server, ServerStatus.GONE, 0));
        }
    },
    /** It drains, and comes back as a new process. */
    DRAINS {
        @Override
        Set<String> begin(ObservedInstance instance, Server server) {
            instance.change(Sites.with(server, ServerStatus.DRAINING, 0));
            return instance.settledSubset();
        }
    },
    /** It is taken out by hand, and put back. */
    DISABLED {
        @Override
        Set<String> begin(ObservedInstance instance, Server server) {
            instance.module().disable(instance.nowUs(), server.id());
            return instance.settledSubset();
        }

        @Override
        void end(ObservedInstance instance, Server server) {
            instance.module().enable(instance.nowUs(), server.id());
            // Whoever puts a server back looks for its first call: every copy tries it once.
            instance.settledSubset();
        }
    },
    /** It refuses connections of those that use it, rests there, and recovers. */
    RESTS {
        @Override
        Set<String> begin(ObservedInstance instance, Server server) {
            instance.rest(server.id());
            return instance.subset();
        }

        @Override
        void end(ObservedInstance instance, Server server) { }
    };

    /** Lets it happen, and returns the servers that the instance uses then. */
    abstract Set<String> begin(ObservedInstance instance, Server server);

    /** Ends it; what follows from that has yet to settle. */
    void end(ObservedInstance instance, Server server) {
        instance.change(Sites.with(server, ServerStatus.UP, instance.nowUs()));
    }
}
