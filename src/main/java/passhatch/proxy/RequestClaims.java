package passhatch.proxy;

import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.Balancer.Effect;
import passhatch.Balancer.RequestClass;

/**
 * Makes sure that a request that must not run twice is sent under one claim of its id, also by the other
 * process of an upgrade and after its client has left. Used by the event loop only.
 */
final class RequestClaims {

    private final RequestIdTable ids;
    private final List<RequestClass> classes;
    /** How long an id may come again: the longest time of a client, or of servers that drop repeats. */
    private final long windowNs;
    private long forgottenEarly;

    /**
     * Creates claims in a table.
     *
     * @param classes the classes of the deployment, in the order of their numbers
     */
    RequestClaims(RequestIdTable ids, List<RequestClass> classes) {
        this.ids = ids;
        this.classes = classes;
        this.windowNs = TimeUnit.MICROSECONDS.toNanos(classes.stream()
                .filter(requestClass -> requestClass.effect() != Effect.SAFE)
                .mapToLong(requestClass -> Math.max(requestClass.deadlineUs(), requestClass.dedupWindowUs()))
                .max().orElse(0));
    }

    /** Whether an earlier request with the id may have run, and its class forbids that it runs twice. */
    boolean mayHaveRunBefore(ProxyRequest request) {
        return mustRunOnce(request) && ids.contains(request.id());
    }

    private boolean mustRunOnce(ProxyRequest request) {
        return classes.get(request.requestClass()).effect() != Effect.SAFE;
    }

    /** Claims the id of a request that is about to be written; false if one with it may run elsewhere. */
    boolean claim(Exchange exchange) {
        if (!mustRunOnce(exchange.request) || exchange.idClaimed) {
            return true;
        }
        RequestIdTable.Claim claim = ids.claim(exchange.request.id());
        exchange.idClaimed = claim.isFirst();
        if (claim.replacedAgeNs() < windowNs) {
            forgottenEarly++;
        }
        return exchange.idClaimed;
    }

    /** Gives up the claim of a request that has ended, if it has certainly not run. */
    void releaseIfNotRun(Exchange exchange) {
        if (exchange.idClaimed && !exchange.hasReachedServer()) {
            ids.release(exchange.request.id());
        }
    }

    /** Adds how many ids were forgotten within the time in which they may come again. */
    void addMetrics(Metrics.Sink lines) {
        lines.add("ids_forgotten_early", forgottenEarly);
    }
}
