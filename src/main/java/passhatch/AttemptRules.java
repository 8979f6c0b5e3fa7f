package passhatch;

import passhatch.Balancer.DedupGroup;
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
    static boolean mayRunAt(RequestClass kind, Backend s) {
        return (kind.zones() == null || kind.zones().contains(s.zone))
                && (kind.models() == null || kind.models().contains(s.model));
    }

    /**
     * False for servers that are closed to its class, that this call tried before, or that would not drop
     * its repeat.
     */
    static boolean mayUse(Call call, Backend s) {
        if (!mayRunAt(call.kind, s)) {
            return false;
        }
        for (Attempt a : call.attempts) {
            if (a.server == s) {
                return false;
            }
        }
        Attempt mayHaveRun = call.mayHaveRun();
        if (mayHaveRun == null || call.kind.effect() == Effect.SAFE) {
            return true;
        }
        Backend first = mayHaveRun.server;
        return switch (call.kind.group()) {
            case ALL -> true;
            case ZONE -> s.zone == first.zone;
            case CELL -> s.zone == first.zone && s.group == first.group;
        };
    }

    /** What forbids to send the call once more, after its attempts so far; null where nothing does. */
    GiveUpReason whyNotRepeat(long nowUs, Call call) {
        if (call.spent) {
            return GiveUpReason.BODY_NOT_HELD;
        }
        if (call.attempts.size() >= maxAttempts) {
            return GiveUpReason.ATTEMPTS_USED;
        }
        if (nowUs >= call.endAtUs) {
            return GiveUpReason.NO_TIME;
        }
        Attempt mayHaveRun = call.mayHaveRun();
        return mayHaveRun == null || mayFollow(nowUs, call, mayHaveRun) ? null : GiveUpReason.MAY_HAVE_RUN;
    }

    /** Whether another attempt may be written after one that may have run. */
    private static boolean mayFollow(long nowUs, Call call, Attempt mayHaveRun) {
        return switch (call.kind.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - mayHaveRun.sentAtUs < call.kind.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    /** Whether the attempt may still be written now: its connection may have come up late. */
    static boolean mayWrite(long nowUs, Call call, Attempt attempt) {
        if (call.ended || !call.arriving && nowUs >= call.deadlineUs) {
            return false;
        }
        for (Attempt other : call.attempts) {
            if (other != attempt && !other.provedNotRun && !mayFollow(nowUs, call, other)) {
                return false;
            }
        }
        return !attempt.server.out;
    }

    /** Whether the client may be told that it can safely come again. */
    static boolean mayRefuse(Call call) {
        return call.mayHaveRun() == null || call.kind.effect() == Effect.SAFE
                || call.kind.effect() == Effect.KEYED && call.kind.group() == DedupGroup.ALL;
    }
}
