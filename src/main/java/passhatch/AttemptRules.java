package passhatch;

import passhatch.Balancer.DedupScope;
import passhatch.Balancer.Effect;
import passhatch.Balancer.GiveUpReason;
import passhatch.Balancer.RequestClass;

/**
 * The rules on what may be done with a request: whether and to which servers it may be sent, whether it may
 * be retried, and whether it may be refused. Every decision to send, to retry or to refuse complies with
 * them.
 */
final class AttemptRules {

    private final int maxAttempts;

    AttemptRules(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /**
     * Whether the class allows the server's zone and machine type. Where no such server is available, calls
     * of the class wait for one.
     */
    static boolean isAllowedOn(RequestClass requestClass, ServerState server) {
        return (requestClass.allowedZones() == null || requestClass.allowedZones().contains(server.zone))
                && (requestClass.allowedMachineTypes() == null
                        || requestClass.allowedMachineTypes().contains(server.machineType));
    }

    /**
     * Whether the call may be sent to the server: its class allows the server, it was not sent there before,
     * and where an earlier attempt may have run, the server would recognise the call as a repeat of it.
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

    /** Why the call must not be sent again after its attempts so far; null where it may be. */
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

    /** Whether another attempt may be sent after one that may have run. */
    private static boolean mayRepeatAfter(long nowUs, Call call, Attempt earlier) {
        return switch (call.requestClass.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - earlier.sentAtUs < call.requestClass.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    /**
     * Whether the attempt may still be written to its connection, which may have been established late: the
     * call has not ended, its time is not over, no other attempt forbids it and the server is not disabled.
     */
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

    /** Whether the client may be told that it can safely try again, whichever server gets that try. */
    static boolean mayRefuse(Call call) {
        return call.firstThatMayHaveRun() == null || call.requestClass.effect() == Effect.SAFE
                || call.requestClass.effect() == Effect.KEYED
                        && call.requestClass.dedupScope() == DedupScope.ALL;
    }
}
