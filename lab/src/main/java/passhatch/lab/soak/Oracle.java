package passhatch.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import passhatch.lab.soak.RunObservations.Arrival;
import passhatch.lab.soak.RunObservations.RequestOutcome;
import passhatch.lab.soak.RunObservations.Removal;
import passhatch.lab.soak.RunObservations.Sent;

/** Holds what was seen in a run against the rules of the protocol, with the slack that its page gives. */
public final class Oracle {

    /** The rules that a run can break. */
    public enum Rule {
        LOST, DUPLICATE, DRAIN, AFTER_CLIENT_LEFT, AFTER_ANSWER, DEADLINE, CRASH, NOT_READY, SELF_CHECK
    }

    /** One break of a rule. */
    public record Violation(Rule rule, String description) {
        @Override
        public String toString() {
            return rule + ": " + description;
        }
    }

    /** What discovery has to tell counts as told after this at the latest. */
    static final Duration MAX_NOTIFICATION_DELAY = Duration.ofSeconds(6);
    private static final Duration ABANDON_SLACK = Duration.ofMillis(100);
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);
    /** The clients, the backends and this check share the machine with the proxies. */
    private static final Duration MACHINE_SLACK = Duration.ofMillis(250);

    private final RunObservations observations;
    private final Map<Integer, List<Long>> killTimesNs;
    private final List<Violation> violations = new ArrayList<>();

    /**
     * An oracle for one run.
     *
     * @param killTimesNs when each proxy was killed: what it held then is not its loss
     */
    Oracle(RunObservations observations, Map<Integer, List<Long>> killTimesNs) {
        this.observations = observations;
        this.killTimesNs = killTimesNs;
    }

    /** All breaks of rules on requests and servers. */
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
            case CLOSED -> request.firstOnConnection() || !arrivals.isEmpty();
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

    /** When a removal counts as told: a span in which discovery cannot be reached puts it off. */
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
