package passhatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/**
 * The queued calls: a lane in the order of arrival for each class, and one lane for calls that wait for
 * probes. All calls are also ordered by the time when they are due.
 */
final class CallQueue {
    private static final Comparator<Call> BY_ARRIVAL = Comparator.comparingLong(call -> call.sequenceNumber);

    /** A lane for each class, by its index, then the lane of calls that wait for probes. */
    private final List<NavigableSet<Call>> lanes = new ArrayList<>();
    private final NavigableSet<Call> byDueTime =
            new TreeSet<>(Comparator.<Call>comparingLong(call -> call.dueAtUs).thenComparing(BY_ARRIVAL));
    private final int classCount;

    CallQueue(int classCount) {
        this.classCount = classCount;
        while (lanes.size() <= classCount) {
            lanes.add(new TreeSet<>(BY_ARRIVAL));
        }
    }

    /** Adds a call that waits for a server to the lane of its class. */
    void add(Call call, long dueAtUs) {
        add(call, call.request.requestClass(), dueAtUs);
    }

    /** Adds a call that waits for the answers to probes; {@link #offer} passes it over. */
    void addAwaitingProbes(Call call, long dueAtUs) {
        add(call, classCount, dueAtUs);
    }

    private void add(Call call, int lane, long dueAtUs) {
        remove(call);
        call.lane = lane;
        call.dueAtUs = dueAtUs;
        lanes.get(lane).add(call);
        byDueTime.add(call);
    }

    /** Removes a call; returns false where it is not queued. */
    boolean remove(Call call) {
        if (!call.isQueued()) {
            return false;
        }
        lanes.get(call.lane).remove(call);
        byDueTime.remove(call);
        call.lane = -1;
        return true;
    }

    boolean isEmpty() {
        return byDueTime.isEmpty();
    }

    /** A snapshot of the calls that wait for probes, the newest first. */
    List<Call> awaitingProbes() {
        return List.copyOf(lanes.get(classCount).descendingSet());
    }

    /** A snapshot of the calls that match, the first due first. */
    List<Call> findAll(Predicate<Call> filter) {
        return byDueTime.stream().filter(filter).toList();
    }

    /** When the next call is due, in microseconds; the greatest value where the queue is empty. */
    long nextDueUs() {
        return byDueTime.isEmpty() ? Long.MAX_VALUE : byDueTime.first().dueAtUs;
    }

    /** The first call that is due by now; null where there is none. */
    Call firstDue(long nowUs) {
        return nextDueUs() <= nowUs ? byDueTime.first() : null;
    }

    /**
     * Offers free capacity to the queued calls, the newest first over all classes. Calls of a class differ
     * little, so after some refusals the older calls of its lane are passed over: the cost of an offer does
     * not depend on the length of the queue.
     *
     * @param maxRefusalsPerLane refusals in a lane after which its older calls are passed over
     * @param laneFilter selects the lanes, by the index of their class, that get the offer
     * @param isEligible selects the calls that get the offer; others are skipped and do not count as refusals
     * @param accepts whether a call accepts the offer now
     * @param onAccepted handles a call that accepts; if the call is queued again then, that is a refusal too
     */
    void offer(int maxRefusalsPerLane, IntPredicate laneFilter, Predicate<Call> isEligible,
            Predicate<Call> accepts, Consumer<Call> onAccepted) {
        int[] refusalsLeft = new int[classCount];
        Call[] candidates = new Call[classCount];
        for (int lane = 0; lane < classCount; lane++) {
            refusalsLeft[lane] = maxRefusalsPerLane;
            candidates[lane] = laneFilter.test(lane)
                    ? firstMatching(lanes.get(lane).descendingSet(), isEligible) : null;
        }
        for (int lane = indexOfNewest(candidates); lane >= 0; lane = indexOfNewest(candidates)) {
            Call call = candidates[lane];
            boolean accepted = accepts.test(call);
            if (accepted) {
                onAccepted.accept(call);
            }
            refusalsLeft[lane] -= accepted && !call.isQueued() ? 0 : 1;
            candidates[lane] = refusalsLeft[lane] > 0
                    ? firstMatching(lanes.get(lane).headSet(call, false).descendingSet(), isEligible) : null;
        }
    }

    private static Call firstMatching(NavigableSet<Call> calls, Predicate<Call> filter) {
        for (Call call : calls) {
            if (filter.test(call)) {
                return call;
            }
        }
        return null;
    }

    /** The index of the call that arrived last; -1 where all are null. */
    private static int indexOfNewest(Call[] calls) {
        int newest = -1;
        for (int i = 0; i < calls.length; i++) {
            if (calls[i] != null && (newest < 0 || calls[i].sequenceNumber > calls[newest].sequenceNumber)) {
                newest = i;
            }
        }
        return newest;
    }
}
