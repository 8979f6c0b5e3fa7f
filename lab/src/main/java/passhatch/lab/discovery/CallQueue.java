package passhatch.lab.discovery;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Calls that are handled one after another, the oldest first. Due times are kept apart from the loop's
 * timers: those ring a millisecond late, which must not add up over calls that take less.
 */
final class CallQueue {

    /** One call. */
    interface Call {
        /** Backends in its answer, as of now. */
        int lines();

        /** The caller has gone, and nothing is done for it. */
        boolean isGone();

        /** Its turn is over after it waited for so long, its own time included. */
        void serve(long waitedNs);

        /** It waited too long, or too many did before it. */
        void turnAway();
    }

    private record Waiting(Call call, long sinceNs) { }

    private final EventLoop loop;
    private final LongSupplier nanos;
    private final CallCosts costs;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private Waiting inService;
    /** When the call in service is done, or the last one was. */
    private long doneAtNs;

    CallQueue(EventLoop loop, LongSupplier nanos, CallCosts costs) {
        this.loop = loop;
        this.nanos = nanos;
        this.costs = costs;
        this.doneAtNs = nanos.getAsLong();
    }

    int length() {
        return waiting.size();
    }

    void add(Call call) {
        long now = nanos.getAsLong();
        if (waiting.size() >= costs.longestQueue()) {
            // Whoever turns calls away does not serve others meanwhile: a crowd that asks again at once
            // takes the time of those that wait.
            doneAtNs = Math.max(doneAtNs, now) + costs.perRefusal().toNanos();
            call.turnAway();
            if (inService != null) {
                schedule(doneAtNs - now);
            }
            return;
        }
        waiting.add(new Waiting(call, now));
        if (inService == null) {
            advance();
        } else {
            schedule(costs.longestWait().toNanos());
        }
    }

    /** Forgets all calls that wait, as at a crash. */
    void clear() {
        waiting.clear();
        inService = null;
    }

    private void schedule(long inNs) {
        loop.schedule(this::advance, Math.max(0, inNs), TimeUnit.NANOSECONDS);
    }

    /** Does what has become due by now. */
    private void advance() {
        long now = nanos.getAsLong();
        boolean taken;
        do {
            if (inService != null && doneAtNs <= now) {
                Waiting done = inService;
                inService = null;
                if (!done.call.isGone()) {
                    done.call.serve(now - done.sinceNs);
                }
            }
            while (!waiting.isEmpty() && waiting.peek().sinceNs + costs.longestWait().toNanos() <= now) {
                waiting.poll().call.turnAway();
            }
            taken = inService == null && takeNext();
        } while (taken && doneAtNs <= now);
        if (taken) {
            schedule(doneAtNs - now);
        }
    }

    private boolean takeNext() {
        do {
            inService = waiting.poll();
        } while (inService != null && inService.call.isGone());
        if (inService == null) {
            return false;
        }
        doneAtNs = Math.max(doneAtNs, inService.sinceNs) + costs.serviceNs(inService.call.lines());
        return true;
    }
}
