package passhatch;

import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.GiveUpReason;
import passhatch.Balancer.RequestClass;

/**
 * What may be done with a request now: whether it may be sent, to which servers, whether it may be repeated,
 * and whether it may be refused. All decisions to send, to send again and to refuse go by these.
 */
final class AttemptRules {

    private final int maxAttempts;

    AttemptRules(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /** Whether the class may run on the server. Where none that may is in use, its calls wait for one. */
    static boolean isAllowedOn(RequestClass requestClass, ServerState server) {
        return (requestClass.allowedZones() == null || requestClass.allowedZones().contains(server.zone))
                && (requestClass.allowedMachineTypes() == null
                        || requestClass.allowedMachineTypes().contains(server.machineType));
    }

    /**
     * False for servers that are closed to its class, that this call tried before, or that would not drop
     * its repeat.
     */
    static boolean isEligible(Call call, ServerState server) {
        if (!isAllowedOn(call.requestClass, server)) {
            return false;
        }
        for (Attempt attempt : call.attempts) {
            if (attempt.server == server) {
                return false;
            }
        }
        Attempt earlier = call.firstThatMayHaveRun();
        if (earlier == null || call.requestClass.effect() == Effect.SAFE) {
            return true;
        }
        ServerState first = earlier.server;
        return switch (call.requestClass.dedupScope()) {
            case ALL -> true;
            case ZONE -> server.zone == first.zone;
            case CELL -> server.zone == first.zone && server.cell == first.cell;
        };
    }

    /** What forbids to send the call once more, after its attempts so far; null where nothing does. */
    GiveUpReason reasonNotToRetry(long nowUs, Call call) {
        if (call.bodyDiscarded) {
            return GiveUpReason.BODY_NOT_HELD;
        }
        if (call.attempts.size() >= maxAttempts) {
            return GiveUpReason.ATTEMPTS_USED;
        }
        if (nowUs >= call.usefulUntilUs) {
            return GiveUpReason.NO_TIME;
        }
        Attempt earlier = call.firstThatMayHaveRun();
        return earlier == null || mayRepeatAfter(nowUs, call, earlier) ? null : GiveUpReason.MAY_HAVE_RUN;
    }

    /** Whether another attempt may be written after one that may have run. */
    private static boolean mayRepeatAfter(long nowUs, Call call, Attempt earlier) {
        return switch (call.requestClass.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - earlier.sentAtUs < call.requestClass.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    /** Whether the attempt may still be written now: its connection may have come up late. */
    static boolean mayWrite(long nowUs, Call call, Attempt attempt) {
        if (call.ended || !call.incomplete && nowUs >= call.deadlineUs) {
            return false;
        }
        for (Attempt other : call.attempts) {
            if (other != attempt && !other.provedNotRun && !mayRepeatAfter(nowUs, call, other)) {
                return false;
            }
        }
        return !attempt.server.disabled;
    }

    /** Whether the client may be told that it can safely come again. */
    static boolean mayRefuse(Call call) {
        return call.firstThatMayHaveRun() == null || call.requestClass.effect() == Effect.SAFE
                || call.requestClass.effect() == Effect.KEYED
                        && call.requestClass.dedupScope() == DedupScope.ALL;
    }
}
