package passhatch.lab.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import passhatch.lab.soak.Ledger.Arrival;
import passhatch.lab.soak.Ledger.End;
import passhatch.lab.soak.Ledger.Removal;
import passhatch.lab.soak.Ledger.Sent;

/** Holds what was seen in a run against the rules of the protocol, with the slack that its page gives. */
public final class Oracle {

    /** The rules that a run can break. */
    public enum Rule {
        LOST, DUPLICATE, DRAIN, AFTER_CLIENT_LEFT, AFTER_ANSWER, DEADLINE, CRASH, NOT_READY, SELF_CHECK
    }

    /** One break of a rule. */
    public record Violation(Rule rule, String what) {
        @Override
        public String toString() {
            return rule + ": " + what;
        }
    }

    /** What discovery has to tell counts as told after this at the latest. */
    static final Duration TOLD = Duration.ofSeconds(6);
    private static final Duration LEFT_SLACK = Duration.ofMillis(100);
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);
    /** The clients, the backends and this check share the machine with the proxies. */
    private static final Duration MACHINE_SLACK = Duration.ofMillis(250);

    private final Ledger ledger;
    private final Map<Integer, List<Long>> kills;
    private final List<Violation> found = new ArrayList<>();

    /**
     * An oracle for one run.
     *
     * @param kills when each proxy was killed: what it held then is not its loss
     */
    Oracle(Ledger ledger, Map<Integer, List<Long>> kills) {
        this.ledger = ledger;
        this.kills = kills;
    }

    /** All breaks of rules on requests and servers. */
    List<Violation> check() {
        for (Sent request : ledger.requests()) {
            List<Arrival> arrivals = ledger.arrivals(request.id()).stream()
                    .sorted(Comparator.comparingLong(Arrival::atNs)).toList();
            checkAnswered(request, arrivals);
            checkRepeats(request, arrivals);
            arrivals.forEach(arrival -> checkTimes(request, arrival));
        }
        List<Removal> removals = ledger.removals();
        for (Arrival arrival : ledger.allArrivals()) {
            removals.stream().filter(removal -> removal.server().equals(arrival.server()))
                    .forEach(removal -> checkRemoval(removal, arrival));
        }
        return List.copyOf(found);
    }

    private void add(Rule rule, String what) {
        found.add(new Violation(rule, what));
    }

    private boolean wasKilled(Sent request) {
        return kills.getOrDefault(request.proxy(), List.of()).stream()
                .anyMatch(at -> at >= request.sentNs() && at <= request.endedNs() + MACHINE_SLACK.toNanos());
    }

    private void checkAnswered(Sent request, List<Arrival> arrivals) {
        boolean lost = switch (request.end()) {
            case NO_ANSWER, FORGED -> true;
            case CLOSED -> request.firstOnConnection() || !arrivals.isEmpty();
            case ANSWERED, LEFT, NOT_TAKEN -> false;
        };
        if (lost && !wasKilled(request)) {
            add(Rule.LOST, request + " arrived " + arrivals);
        }
    }

    private void checkRepeats(Sent request, List<Arrival> arrivals) {
        Arrival first = null;
        for (Arrival arrival : arrivals) {
            if (first != null && request.kind() == RequestKind.UNSAFE) {
                add(Rule.DUPLICATE, request + " arrived " + arrivals);
            }
            if (first != null && request.kind() == RequestKind.KEYED && arrival.atNs() - first.atNs()
                    > RequestKind.DEDUP_WINDOW.plus(MACHINE_SLACK).toNanos()) {
                add(Rule.DUPLICATE, request + " arrived past its window " + arrivals);
            }
            if (first == null && arrival.mayHaveRun()) {
                first = arrival;
            }
        }
    }

    private void checkTimes(Sent request, Arrival arrival) {
        long afterEndNs = arrival.atNs() - request.endedNs() - MACHINE_SLACK.toNanos();
        if (request.end() == End.LEFT && afterEndNs > LEFT_SLACK.toNanos()) {
            add(Rule.AFTER_CLIENT_LEFT, request + " got " + arrival);
        }
        if (request.end() == End.ANSWERED && afterEndNs > 0) {
            add(Rule.AFTER_ANSWER, request + " got " + arrival);
        }
        long mostNs = request.deadlineNs() - arrival.atNs() + DEADLINE_SLACK.plus(MACHINE_SLACK).toNanos();
        if (arrival.leftNs() > mostNs) {
            add(Rule.DEADLINE, request + " got " + arrival);
        }
    }

    private void checkRemoval(Removal removal, Arrival arrival) {
        long boundNs = toldNs(removal) + ProxyInstance.DRAIN_GRACE.plus(MACHINE_SLACK).toNanos();
        if (arrival.atNs() > boundNs && arrival.atNs() < removal.untilNs()) {
            Duration since = Duration.ofNanos(arrival.atNs() - removal.fromNs());
            add(Rule.DRAIN, arrival + " came " + since.toMillis() + " ms after the removal");
        }
    }

    /** When a removal counts as told: a span in which discovery cannot be reached puts it off. */
    private long toldNs(Removal removal) {
        long toldNs = removal.fromNs() + TOLD.toNanos();
        for (Removal outage : ledger.outages().stream()
                .sorted(Comparator.comparingLong(Removal::fromNs)).toList()) {
            if (outage.fromNs() < toldNs && outage.untilNs() > removal.fromNs()) {
                toldNs = outage.untilNs() + TOLD.toNanos();
            }
        }
        return toldNs;
    }
}
