package passhatch.proxy;

import java.util.EnumMap;
import java.util.Map;
import passhatch.Balancer.Effect;
import passhatch.proxy.EventLog.Kind;

/**
 * The last word before an attempt is written: whether it still may be, and whether one that is written keeps
 * the rules. Decisions are the module's, but its attempts may wait for a connection, and what is checked here
 * goes by the network code's own records. What is held back is counted by reason; a rule that is broken all
 * the same is a fault of this program, counted and logged as a violation.
 */
final class SendGuard {

    /** Why an attempt is not written any more. */
    enum HeldBack {
        /** The request has its answer. */
        ANSWERED,
        /** Its client has left, or may have. */
        CLIENT_GONE,
        /** The backend drains, or is not listed any more. */
        BACKEND_GONE,
        /** Its body went to another attempt and is not held. */
        BODY_SPENT,
        /** The module says that its time or window is over, or that its server is disabled. */
        FORBIDDEN
    }

    /** A rule that was broken. */
    enum Violation {
        /** Written to a backend that drains or is gone for longer than the grace. */
        REMOVED_BACKEND,
        /** Written again though an attempt may have run that must not run twice. */
        SECOND_RUN,
        /** More attempts than the deployment allows. */
        TOO_MANY_ATTEMPTS,
        /** The backend is told of more time than the client has. */
        TIME_BEYOND_CLIENT,
        /** A connection is closed here while a request on it has no answer. */
        CLOSED_UNANSWERED
    }

    /** What the network code knows just before an attempt is written. */
    record WriteConditions(boolean answered, boolean clientPresent, boolean backendUp, boolean bodyHeld,
            boolean allowed) { }

    /**
     * An attempt that is written.
     *
     * @param backendGoneUs for how long its backend has been drained or gone; negative where it is up
     * @param othersMayHaveRun whether another attempt of the request may have run, or is out
     * @param number of attempts so far, this one included
     * @param toldUs the time that the backend is told of
     * @param leftUs the time that the client has
     */
    record Attempt(String request, String server, long backendGoneUs, Effect effect,
            boolean othersMayHaveRun, int number, long toldUs, long leftUs) { }

    private static final long DEADLINE_SLACK_US = 150_000;

    private final EventLog log;
    private final long drainGraceUs;
    private final int maxAttempts;
    private final Map<HeldBack, Long> heldBack = new EnumMap<>(HeldBack.class);
    private final Map<Violation, Long> violations = new EnumMap<>(Violation.class);

    SendGuard(EventLog log, long drainGraceUs, int maxAttempts) {
        this.log = log;
        this.drainGraceUs = drainGraceUs;
        this.maxAttempts = maxAttempts;
    }

    /** Whether the attempt may be written now; counts why not. */
    boolean mayWrite(WriteConditions conditions) {
        HeldBack reason = reasonNotToWrite(conditions);
        if (reason != null) {
            heldBack.merge(reason, 1L, Long::sum);
        }
        return reason == null;
    }

    private static HeldBack reasonNotToWrite(WriteConditions conditions) {
        if (conditions.answered()) {
            return HeldBack.ANSWERED;
        }
        if (!conditions.clientPresent()) {
            return HeldBack.CLIENT_GONE;
        }
        if (!conditions.backendUp()) {
            return HeldBack.BACKEND_GONE;
        }
        if (!conditions.bodyHeld()) {
            return HeldBack.BODY_SPENT;
        }
        return conditions.allowed() ? null : HeldBack.FORBIDDEN;
    }

    /** Checks an attempt as it is written. */
    void checkWritten(Attempt attempt) {
        if (attempt.backendGoneUs() > drainGraceUs) {
            recordViolation(Violation.REMOVED_BACKEND, attempt.toString());
        }
        if (attempt.effect() == Effect.UNSAFE && attempt.othersMayHaveRun()) {
            recordViolation(Violation.SECOND_RUN, attempt.toString());
        }
        if (attempt.number() > maxAttempts) {
            recordViolation(Violation.TOO_MANY_ATTEMPTS, attempt.toString());
        }
        if (attempt.toldUs() > attempt.leftUs() + DEADLINE_SLACK_US) {
            recordViolation(Violation.TIME_BEYOND_CLIENT, attempt.toString());
        }
    }

    /** A connection is closed by this program with requests on it that have no answer. */
    void recordClosedUnanswered(String request) {
        recordViolation(Violation.CLOSED_UNANSWERED, request);
    }

    private void recordViolation(Violation rule, String details) {
        violations.merge(rule, 1L, Long::sum);
        log.line(Kind.VIOLATION, "VIOLATION " + rule + ": " + details);
    }

    long violationCount(Violation rule) {
        return violations.getOrDefault(rule, 0L);
    }

    /** Adds the metrics, one a line. */
    void metrics(Figures.Lines lines) {
        for (HeldBack reason : HeldBack.values()) {
            lines.add("held_back." + Figures.lowerCase(reason), heldBack.getOrDefault(reason, 0L));
        }
        for (Violation rule : Violation.values()) {
            lines.add("violations." + Figures.lowerCase(rule), violationCount(rule));
        }
    }
}
