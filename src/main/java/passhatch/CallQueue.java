package passhatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/** Queued calls, a lane for each class and one aside, in the order of arrival; and by when they are due. */
final class CallQueue {
    private static final Comparator<Call> BY_ARRIVAL = Comparator.comparingLong(call -> call.sequenceNumber);

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

    void add(Call call, long dueAtUs) {
        add(call, call.request.requestClass(), dueAtUs);
    }

    /** Adds a call that is not offered anything. */
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

    /** Returns false where the call is not queued. */
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

    /** The calls aside as they are now, the newest first. */
    List<Call> awaitingProbes() {
        return List.copyOf(lanes.get(classCount).descendingSet());
    }

    /** All calls of a kind as they are now, the first due first. */
    List<Call> findAll(Predicate<Call> filter) {
        return byDueTime.stream().filter(filter).toList();
    }

    /** When the next call is due, or the greatest value. */
    long nextDueUs() {
        return byDueTime.isEmpty() ? Long.MAX_VALUE : byDueTime.first().dueAtUs;
    }

    /** A call that is due by now, or null. */
    Call firstDue(long nowUs) {
        return nextDueUs() <= nowUs ? byDueTime.first() : null;
    }

    /**
     * Offers something to the queued calls, the newest first. Calls of a class differ little: after so many
     * refusals its older ones are passed over, so that an offer costs the same however many are queued.
     *
     * @param maxRefusalsPerLane refusals in a lane after which its older calls are passed over
     * @param laneFilter the lanes that it may go to at all
     * @param isEligible the calls that it may go to; others are stepped over, and are no refusals
     * @param accepts the calls that would take it now
     * @param onAccepted is handed each of these; one queued again after that has refused, too
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
