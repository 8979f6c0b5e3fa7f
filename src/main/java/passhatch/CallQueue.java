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
    private final NavigableSet<Call> byTime =
            new TreeSet<>(Comparator.<Call>comparingLong(call -> call.dueAtUs).thenComparing(BY_ARRIVAL));
    private final int classes;

    CallQueue(int classes) {
        this.classes = classes;
        while (lanes.size() <= classes) {
            lanes.add(new TreeSet<>(BY_ARRIVAL));
        }
    }

    void add(Call call, long dueAtUs) {
        add(call, call.request.requestClass(), dueAtUs);
    }

    /** Adds a call that is not offered anything. */
    void addAside(Call call, long dueAtUs) {
        add(call, classes, dueAtUs);
    }

    private void add(Call call, int lane, long dueAtUs) {
        remove(call);
        call.lane = lane;
        call.dueAtUs = dueAtUs;
        lanes.get(lane).add(call);
        byTime.add(call);
    }

    /** Returns false where the call is not queued. */
    boolean remove(Call call) {
        if (!call.isQueued()) {
            return false;
        }
        lanes.get(call.lane).remove(call);
        byTime.remove(call);
        call.lane = -1;
        return true;
    }

    boolean isEmpty() {
        return byTime.isEmpty();
    }

    /** The calls aside as they are now, the newest first. */
    List<Call> aside() {
        return List.copyOf(lanes.get(classes).descendingSet());
    }

    /** All calls of a kind as they are now, the first due first. */
    List<Call> all(Predicate<Call> kind) {
        return byTime.stream().filter(kind).toList();
    }

    /** When the next call is due, or the greatest value. */
    long nextUs() {
        return byTime.isEmpty() ? Long.MAX_VALUE : byTime.first().dueAtUs;
    }

    /** A call that is due by now, or null. */
    Call due(long nowUs) {
        return nextUs() <= nowUs ? byTime.first() : null;
    }

    /**
     * Offers something to the queued calls, the newest first. Calls of a class differ little: after so many
     * refusals its older ones are passed over, so that an offer costs the same however many are queued.
     *
     * @param most refusals in a lane after which its older calls are passed over
     * @param open the lanes that it may go to at all
     * @param may the calls that it may go to; others are stepped over, and are no refusals
     * @param takes the calls that would take it now
     * @param taker is handed each of these; one queued again after that has refused, too
     */
    void offer(int most, IntPredicate open, Predicate<Call> may, Predicate<Call> takes,
            Consumer<Call> taker) {
        int[] left = new int[classes];
        Call[] next = new Call[classes];
        for (int lane = 0; lane < classes; lane++) {
            left[lane] = most;
            next[lane] = open.test(lane) ? first(lanes.get(lane).descendingSet(), may) : null;
        }
        for (int lane = newest(next); lane >= 0; lane = newest(next)) {
            Call call = next[lane];
            boolean taken = takes.test(call);
            if (taken) {
                taker.accept(call);
            }
            left[lane] -= taken && !call.isQueued() ? 0 : 1;
            next[lane] = left[lane] > 0
                    ? first(lanes.get(lane).headSet(call, false).descendingSet(), may) : null;
        }
    }

    private static Call first(NavigableSet<Call> calls, Predicate<Call> may) {
        for (Call call : calls) {
            if (may.test(call)) {
                return call;
            }
        }
        return null;
    }

    private static int newest(Call[] calls) {
        int newest = -1;
        for (int i = 0; i < calls.length; i++) {
            if (calls[i] != null && (newest < 0 || calls[i].sequenceNumber > calls[newest].sequenceNumber)) {
                newest = i;
            }
        }
        return newest;
    }
}
