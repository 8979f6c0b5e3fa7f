package passhatch.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import passhatch.lab.soak.RunObservations.Arrival;
import passhatch.lab.soak.RunObservations.Removal;
import passhatch.lab.soak.RunObservations.RequestOutcome;
import passhatch.lab.soak.RunObservations.Sent;

/**
 * Checks the observations of a run against the rules of the protocol, with the slack that the protocol page
 * allows.
 */
public final class Oracle {

    /** The rules that a run can violate. */
    public enum Rule {
        /** A request got no complete response, or one of another request, and its proxy was not killed. */
        LOST,
        /** A request was sent again although an earlier attempt may have run and its class forbids that. */
        DUPLICATE,
        /** A server that was removed or drains got an attempt after the drain grace. */
        DRAIN,
        /** An attempt arrived after its client had disconnected. */
        AFTER_CLIENT_LEFT,
        /** An attempt arrived after its client had got a response. */
        AFTER_ANSWER,
        /** An attempt carried more time than its client had left. */
        DEADLINE,
        /** The process of a proxy did not run at the end. */
        CRASH,
        /** A proxy was not ready in time after its start. */
        NOT_READY,
        /** A proxy logged a bug or a violation that it detected itself. */
        SELF_CHECK
    }

    /** One violation of a rule. */
    public record Violation(Rule rule, String description) {
        @Override
        public String toString() {
            return rule + ": " + description;
        }
    }

    /**
     * Proxies must know a change of the list at most this long after discovery made it or became reachable
     * again.
     */
    static final Duration MAX_NOTIFICATION_DELAY = Duration.ofSeconds(6);
    /** An attempt may still arrive this long after its client has disconnected. */
    private static final Duration ABANDON_SLACK = Duration.ofMillis(100);
    /** An attempt may carry this much more time than its client has left. */
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);
    /** Additional slack for delays of clients and backends, which run on the same machine as the proxies. */
    private static final Duration MACHINE_SLACK = Duration.ofMillis(250);

    private final RunObservations observations;
    private final Map<Integer, List<Long>> killTimesNs;
    private final boolean crowded;
    private final List<Violation> violations = new ArrayList<>();

    /** Creates an oracle for one run without a crowd. */
    Oracle(RunObservations observations, Map<Integer, List<Long>> killTimesNs) {
        this(observations, killTimesNs, false);
    }

    /**
     * Creates an oracle for one run.
     *
     * @param killTimesNs the times when each proxy was killed, by its number; requests in flight then are not
     *     lost
     * @param crowded whether clients without a sound request fill the proxies' connections, so that a new
     *     connection may be closed unread
     */
    Oracle(RunObservations observations, Map<Integer, List<Long>> killTimesNs, boolean crowded) {
        this.crowded = crowded;
        this.observations = observations;
        this.killTimesNs = killTimesNs;
    }

    /** Returns all violations of the rules on requests and servers. */
    List<Violation> check() {
        for (Sent request : observations.requests()) {
            List<Arrival> arrivals = observations.arrivals(request.id()).stream()
                    .sorted(Comparator.comparingLong(Arrival::atNs)).toList();
            checkLost(request, arrivals);
            checkRepeats(request, arrivals);
            arrivals.forEach(arrival -> checkTimes(request, arrival));
        }
        List<Removal> removals = observations.removals();
        for (Arrival arrival : observations.allArrivals()) {
            removals.stream().filter(removal -> removal.server().equals(arrival.server()))
                    .forEach(removal -> checkRemoval(removal, arrival));
        }
        return List.copyOf(violations);
    }

    private void report(Rule rule, String description) {
        violations.add(new Violation(rule, description));
    }

    private boolean wasKilled(Sent request) {
        return killTimesNs.getOrDefault(request.proxy(), List.of()).stream()
                .anyMatch(killedNs -> killedNs >= request.sentNs()
                && killedNs <= request.endedNs() + MACHINE_SLACK.toNanos());
    }

    private void checkLost(Sent request, List<Arrival> arrivals) {
        boolean lost = switch (request.end()) {
            case NO_ANSWER, FORGED -> true;
            case CLOSED -> request.firstOnConnection() && !crowded || !arrivals.isEmpty();
            case ANSWERED, LEFT, NOT_TAKEN -> false;
        };
        if (lost && !wasKilled(request)) {
            report(Rule.LOST, request + " arrived " + arrivals);
        }
    }

    private void checkRepeats(Sent request, List<Arrival> arrivals) {
        Arrival first = null;
        for (Arrival arrival : arrivals) {
            if (first != null && request.kind() == RequestKind.UNSAFE) {
                report(Rule.DUPLICATE, request + " arrived " + arrivals);
            }
            if (first != null && request.kind() == RequestKind.KEYED && arrival.atNs() - first.atNs()
                    > RequestKind.DEDUP_WINDOW.plus(MACHINE_SLACK).toNanos()) {
                report(Rule.DUPLICATE, request + " arrived past its window " + arrivals);
            }
            if (first == null && arrival.mayHaveRun()) {
                first = arrival;
            }
        }
    }

    private void checkTimes(Sent request, Arrival arrival) {
        long afterEndNs = arrival.atNs() - request.endedNs() - MACHINE_SLACK.toNanos();
        if (request.end() == RequestOutcome.LEFT && afterEndNs > ABANDON_SLACK.toNanos()) {
            report(Rule.AFTER_CLIENT_LEFT, request + " got " + arrival);
        }
        if (request.end() == RequestOutcome.ANSWERED && afterEndNs > 0) {
            report(Rule.AFTER_ANSWER, request + " got " + arrival);
        }
        long maxLeftNs = request.deadlineNs() - arrival.atNs() + DEADLINE_SLACK.plus(MACHINE_SLACK).toNanos();
        if (arrival.leftNs() > maxLeftNs) {
            report(Rule.DEADLINE, request + " got " + arrival);
        }
    }

    private void checkRemoval(Removal removal, Arrival arrival) {
        long lastAllowedNs = notificationDeadlineNs(removal)
                + ProxyInstance.DRAIN_GRACE.plus(MACHINE_SLACK).toNanos();
        if (arrival.atNs() > lastAllowedNs && arrival.atNs() < removal.untilNs()) {
            Duration sinceRemoval = Duration.ofNanos(arrival.atNs() - removal.fromNs());
            report(Rule.DRAIN, arrival + " came " + sinceRemoval.toMillis() + " ms after the removal");
        }
    }

    /**
     * Returns the time by which all proxies must know of a removal; outages of discovery in that time extend
     * it.
     */
    private long notificationDeadlineNs(Removal removal) {
        long deadlineNs = removal.fromNs() + MAX_NOTIFICATION_DELAY.toNanos();
        for (Removal outage : observations.outages().stream()
                .sorted(Comparator.comparingLong(Removal::fromNs)).toList()) {
            if (outage.fromNs() < deadlineNs && outage.untilNs() > removal.fromNs()) {
                deadlineNs = outage.untilNs() + MAX_NOTIFICATION_DELAY.toNanos();
            }
        }
        return deadlineNs;
    }
}
