package passhatch.proxy;

import java.util.EnumMap;
import java.util.Map;
import passhatch.Balancer.Effect;
import passhatch.proxy.EventLog.Kind;

/**
 * The final check before an attempt is written to its connection: whether it may still be written, and
 * whether a written one complies with the rules. The decision module decides on attempts, but these may then
 * wait for a connection, so they are checked again here by the network code's own records. Attempts held back
 * are counted by reason. A rule that is broken nevertheless is a bug of this program, which is counted and
 * logged as a violation.
 */
final class SendGuard {

    /** Why an attempt is no longer written. */
    enum HeldBack {
        /** The request has its response, or a streamed one has begun. */
        ANSWERED,
        /** The client has disconnected. */
        CLIENT_GONE,
        /** Nobody can tell whether the client has disconnected. */
        CLIENT_UNKNOWN,
        /** The backend is draining or no longer listed. */
        BACKEND_GONE,
        /** A part of the body was sent in another attempt and is no longer buffered. */
        BODY_SPENT,
        /** A request with the same id has been written by the other process of an upgrade. */
        ID_CLAIMED,
        /**
         * The decision module forbids it: the request's time or its deduplication window is over, or the
         * backend is disabled.
         */
        FORBIDDEN
    }

    /** A rule that was broken. */
    enum Violation {
        /** An attempt was written to a backend draining or gone for longer than the grace time. */
        REMOVED_BACKEND,
        /** A request that must not run twice was written again although an attempt may have run. */
        SECOND_RUN,
        /** A request had more attempts than the deployment allows. */
        TOO_MANY_ATTEMPTS,
        /** The backend was given more time than the client has left. */
        TIME_BEYOND_CLIENT,
        /** This program closed a client connection while a request on it had no response. */
        CLOSED_UNANSWERED
    }

    /**
     * What the network code knows just before an attempt is written.
     *
     * @param responseStarted whether the request has its response, or a streamed one has begun
     * @param clientPresent whether the client is still connected
     * @param backendUp whether the backend is listed and not draining
     * @param bodyBuffered whether the whole body can still be sent
     * @param allowed whether the decision module still allows the attempt
     */
    record WriteConditions(boolean responseStarted, boolean clientPresent, boolean backendUp,
            boolean bodyBuffered, boolean allowed) { }

    /**
     * An attempt that is being written. Its components appear in the log lines of violations.
     *
     * @param request the id of the request
     * @param server the id of the backend
     * @param backendGoneUs how long its backend has been draining or gone, in microseconds; negative where it
     *     is up
     * @param effect whether the request may run more than once
     * @param othersMayHaveRun whether another attempt of the request may have run, or is in flight
     * @param number the number of attempts so far, this one included
     * @param toldUs the time left that the backend is given, in microseconds
     * @param leftUs the time left until the client gives up, in microseconds
     */
    record Attempt(String request, String server, long backendGoneUs, Effect effect,
            boolean othersMayHaveRun, int number, long toldUs, long leftUs) { }

    /** Excess of the time given to the backend over the client's that is not yet a violation. */
    private static final long DEADLINE_SLACK_US = 150_000;

    private final EventLog log;
    private final long drainGraceUs;
    private final int maxAttempts;
    private final Map<HeldBack, Long> heldBack = new EnumMap<>(HeldBack.class);
    /** Attempts that were tried again a moment later, as nobody could tell whether their client was there. */
    private long deferred;
    private final Map<Violation, Long> violations = new EnumMap<>(Violation.class);

    /**
     * Creates a guard.
     *
     * @param log gets the violations
     * @param drainGraceUs how long a backend may be sent attempts after it began to drain or was removed, in
     *     microseconds
     * @param maxAttempts attempts that a request may have
     */
    SendGuard(EventLog log, long drainGraceUs, int maxAttempts) {
        this.log = log;
        this.drainGraceUs = drainGraceUs;
        this.maxAttempts = maxAttempts;
    }

    /** Whether the attempt may be written now; if not, counts the reason. */
    boolean mayWrite(WriteConditions conditions) {
        HeldBack reason = reasonNotToWrite(conditions);
        if (reason != null) {
            heldBack.merge(reason, 1L, Long::sum);
        }
        return reason == null;
    }

    /** Counts an attempt that is not written because its client may have disconnected unnoticed. */
    void recordClientUnknown() {
        heldBack.merge(HeldBack.CLIENT_UNKNOWN, 1L, Long::sum);
    }

    /** Counts an attempt that waits a moment, until somebody can tell whether its client is there. */
    void recordDeferred() {
        deferred++;
    }

    /** Counts an attempt that is not written because another process has written its request. */
    void recordIdClaimed() {
        heldBack.merge(HeldBack.ID_CLAIMED, 1L, Long::sum);
    }

    private static HeldBack reasonNotToWrite(WriteConditions conditions) {
        if (conditions.responseStarted()) {
            return HeldBack.ANSWERED;
        }
        if (!conditions.clientPresent()) {
            return HeldBack.CLIENT_GONE;
        }
        if (!conditions.backendUp()) {
            return HeldBack.BACKEND_GONE;
        }
        if (!conditions.bodyBuffered()) {
            return HeldBack.BODY_SPENT;
        }
        return conditions.allowed() ? null : HeldBack.FORBIDDEN;
    }

    /** Checks an attempt that is being written, and records each rule that it violates. */
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

    /** Records that this program closed the client connection of a request that had no response. */
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

    /** Adds the counts of attempts held back and of violations to the metrics, one per line. */
    void metrics(Metrics.Sink lines) {
        for (HeldBack reason : HeldBack.values()) {
            lines.add("held_back." + Metrics.lowerCase(reason), heldBack.getOrDefault(reason, 0L));
        }
        lines.add("attempts_deferred", deferred);
        for (Violation rule : Violation.values()) {
            lines.add("violations." + Metrics.lowerCase(rule), violationCount(rule));
        }
    }
}
