package passhatch.lab.discovery;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Calls that are handled one after another, the oldest first. Due times are kept apart from the loop's
 * timers: those ring a millisecond late, which must not add up over calls that take less.
 */
final class DiscoveryCallQueue {

    /** One call. */
    interface Call {
        /** Backends in its answer, as of now. */
        int responseLines();

        /** The caller has gone, and nothing is done for it. */
        boolean isDisconnected();

        /** Its turn is over after it waited for so long, its own time included. */
        void serve(long waitedNs);

        /** It waited too long, or too many did before it. */
        void reject();
    }

    private record QueuedCall(Call call, long queuedNs) { }

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final CallCosts costs;
    private final ArrayDeque<QueuedCall> queuedCalls = new ArrayDeque<>();
    private QueuedCall inService;
    /** When the call in service is done, or the last one was. */
    private long serviceEndNs;

    DiscoveryCallQueue(EventLoop loop, LongSupplier nanoClock, CallCosts costs) {
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.costs = costs;
        this.serviceEndNs = nanoClock.getAsLong();
    }

    int length() {
        return queuedCalls.size();
    }

    void add(Call call) {
        long nowNs = nanoClock.getAsLong();
        if (queuedCalls.size() >= costs.maxQueueLength()) {
            // Whoever turns calls away does not serve others meanwhile: a crowd that asks again at once
            // takes the time of those that wait.
            serviceEndNs = Math.max(serviceEndNs, nowNs) + costs.perRejection().toNanos();
            call.reject();
            if (inService != null) {
                schedule(serviceEndNs - nowNs);
            }
            return;
        }
        queuedCalls.add(new QueuedCall(call, nowNs));
        if (inService == null) {
            advance();
        } else {
            schedule(costs.maxWait().toNanos());
        }
    }

    /** Forgets all calls that wait, as at a crash. */
    void clear() {
        queuedCalls.clear();
        inService = null;
    }

    private void schedule(long delayNs) {
        loop.schedule(this::advance, Math.max(0, delayNs), TimeUnit.NANOSECONDS);
    }

    /** Does what has become due by now. */
    private void advance() {
        long nowNs = nanoClock.getAsLong();
        boolean started;
        do {
            if (inService != null && serviceEndNs <= nowNs) {
                QueuedCall completed = inService;
                inService = null;
                if (!completed.call.isDisconnected()) {
                    completed.call.serve(nowNs - completed.queuedNs);
                }
            }
            while (!queuedCalls.isEmpty()
                    && queuedCalls.peek().queuedNs + costs.maxWait().toNanos() <= nowNs) {
                queuedCalls.poll().call.reject();
            }
            started = inService == null && startNext();
        } while (started && serviceEndNs <= nowNs);
        if (started) {
            schedule(serviceEndNs - nowNs);
        }
    }

    private boolean startNext() {
        do {
            inService = queuedCalls.poll();
        } while (inService != null && inService.call.isDisconnected());
        if (inService == null) {
            return false;
        }
        serviceEndNs = Math.max(serviceEndNs, inService.queuedNs)
                + costs.serviceTimeNs(inService.call.responseLines());
        return true;
    }
}
