package passhatch.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import passhatch.Balancer.ServerStatus;
import passhatch.proxy.BackendPool.Handle;
import passhatch.proxy.BackendPool.OutgoingRequest;
import passhatch.proxy.BackendPool.ResponseSink;
import passhatch.proxy.BackendPool.Result;
import passhatch.proxy.BackendPool.Target;

/** The backends that discovery lists, and those that it has removed while attempts are out there. */
final class BackendRegistry {

    private final Clock clock;
    private final EventLog log;
    private final BackendPool pool;
    private final Map<String, Backend> backends = new HashMap<>();

    /**
     * Creates a registry without backends.
     *
     * @param pool has the connections to them
     */
    BackendRegistry(Clock clock, EventLog log, BackendPool pool) {
        this.clock = clock;
        this.log = log;
        this.pool = pool;
    }

    /**
     * Applies a list from discovery to the backends. A removed backend is kept only until its last attempt
     * has ended, because new ones are added all the time and the map would otherwise grow without bound. A
     * backend with another address or start time than before is another process, so idle connections to the
     * previous one are closed.
     */
    void apply(EndpointList list) {
        if (list.full()) {
            Set<String> listedIds = new HashSet<>();
            list.endpoints().forEach(endpoint -> listedIds.add(endpoint.server().id()));
            backends.values().stream().filter(b -> !listedIds.contains(b.target.id()))
                    .forEach(this::removeFromList);
        }
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            Target target = new Target(endpoint.server().id(), endpoint.address());
            Backend backend = backends.get(target.id());
            long startedAtUs = endpoint.server().startedAtUs();
            if (backend != null && endpoint.server().status() != ServerStatus.GONE
                    && !backend.isSameProcess(target, startedAtUs)) {
                removeFromList(backend);
                backend = null;
            }
            if (endpoint.server().status() == ServerStatus.GONE) {
                if (backend != null) {
                    removeFromList(backend);
                }
                continue;
            }
            if (backend == null) {
                backend = new Backend(target, startedAtUs);
                backends.put(target.id(), backend);
            }
            backend.listed = true;
            backend.setAvailable(endpoint.server().status() == ServerStatus.UP, clock.nowUs());
        }
        backends.values().removeIf(b -> !b.listed && b.inFlight == 0);
    }

    private void removeFromList(Backend backend) {
        backend.setAvailable(false, clock.nowUs());
        backend.listed = false;
        closeIdleConnections(backend);
    }

    /** Closes idle connections to a backend; the list of backends is applied even if that fails. */
    private void closeIdleConnections(Backend backend) {
        FailureIsolation.run(log, "closing idle connections", () -> pool.closeIdle(backend.target));
    }

    /** The backend with the id, if it is listed or still has attempts; null otherwise. */
    Backend find(String id) {
        return backends.get(id);
    }

    /** Closes the idle connections to the backend with the id, if there is one. */
    void closeIdle(String id) {
        Backend backend = backends.get(id);
        if (backend != null) {
            pool.closeIdle(backend.target);
        }
    }

    /** Gives a request for a backend to the pool, and counts it until it has ended. */
    Handle send(Backend backend, OutgoingRequest outgoing, BackendPool.Listener listener) {
        backend.inFlight++;
        return pool.send(backend.target, outgoing, new BackendPool.Listener() {
            @Override
            public ResponseSink openSink(long contentLength, Runnable resumeReading) {
                return listener.openSink(contentLength, resumeReading);
            }

            @Override
            public void done(Result result) {
                backend.inFlight--;
                if (!backend.listed && backend.inFlight == 0) {
                    backends.remove(backend.target.id(), backend);
                }
                if (!backend.available) {
                    closeIdleConnections(backend);
                }
                listener.done(result);
            }
        });
    }
}
