package passhatch.lab.discovery;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A FIFO queue of calls that are served one at a time, with simulated service times. End times are computed
 * independently of when the event loop's timers run: these are late by about a millisecond, which must not
 * add up over calls whose service time is shorter. Used only in the event loop.
 */
final class DiscoveryCallQueue {

    /** A call to discovery. */
    interface Call {
        /** Number of backends in the response if it were sent now. */
        int responseLines();

        /** Whether the caller has disconnected; then the call takes no service time and gets no response. */
        boolean isDisconnected();

        /**
         * Sends the response at the end of the service time.
         *
         * @param waitedNs nanoseconds since the call was queued, including its service time
         */
        void serve(long waitedNs);

        /** Answers 503 because the call was queued for too long or found the queue full. */
        void reject();
    }

    /** A call and the time when it was queued. */
    private record QueuedCall(Call call, long queuedNs) { }

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final CallCosts costs;
    private final ArrayDeque<QueuedCall> queuedCalls = new ArrayDeque<>();
    private QueuedCall inService;
    /** End of the service time of the current call or, if there is none, of the last one. */
    private long serviceEndNs;

    /** Creates an empty queue; {@code nanoClock} returns the current time in nanoseconds. */
    DiscoveryCallQueue(EventLoop loop, LongSupplier nanoClock, CallCosts costs) {
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.costs = costs;
        this.serviceEndNs = nanoClock.getAsLong();
    }

    /** Number of queued calls without the one in service. */
    int length() {
        return queuedCalls.size();
    }

    /** Queues a call, or rejects it if the queue is full. */
    void add(Call call) {
        long nowNs = nanoClock.getAsLong();
        if (queuedCalls.size() >= costs.maxQueueLength()) {
            // Rejecting a call takes service time too, so callers that retry at once delay the queued calls.
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

    /** Drops all calls without a response, as in a crash. */
    void clear() {
        queuedCalls.clear();
        inService = null;
    }

    private void schedule(long delayNs) {
        loop.schedule(this::advance, Math.max(0, delayNs), TimeUnit.NANOSECONDS);
    }

    /** Finishes, rejects and starts all calls that are due by now. */
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

    /** Starts the next call whose caller is still connected; returns false if there is none. */
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
