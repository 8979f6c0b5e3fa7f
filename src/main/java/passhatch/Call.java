package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;

/** The state of a request, from its arrival until it has ended and none of its attempts is in flight. */
final class Call {
    final Request request;
    final RequestClass requestClass;
    /** Its number in the order of arrival. */
    final long sequenceNumber;
    /** A response after this time has no value, or finds the client gone. */
    long usefulUntilUs;
    /** Its expected work, as a multiple of the mean; 1 where unknown. */
    final double relativeWork;
    /** When its client gives up this try. */
    long deadlineUs;
    /** Latency, from the last byte of the request on, beyond which a response has no value. */
    final long maxUsefulLatencyUs;
    /** Its body is still being received; until it is complete, no attempt counts as overdue. */
    boolean incomplete;
    /** A part of its body is no longer buffered, so it cannot be sent again. */
    boolean bodyDiscarded;
    /** The attempt whose streamed response is being passed to the client; null while there is none. */
    Attempt committedAttempt;
    final List<Attempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** Its client has the final response, or has gone. */
    boolean ended;
    /** It exceeds its tenant's quota. */
    boolean overQuota;
    /** It has waited for a server; such a call is sent only if it has a fair chance to be in time. */
    boolean wasQueued;
    /** Rounds of probes sent for this call since it was last queued. */
    int probeRounds;
    /** Until then the call waits for the answers to its probes. */
    long probeWaitUntilUs = Long.MIN_VALUE;
    /** Its lane in the {@link CallQueue}; -1 while it is not queued. */
    int lane = -1;
    /** When it leaves the queue at the latest, to be dispatched or given up. */
    long dueAtUs;

    Call(Request request, RequestClass requestClass, long sequenceNumber, long nowUs, long maxUsefulLatencyUs,
            double relativeWork) {
        this.request = request;
        this.requestClass = requestClass;
        this.sequenceNumber = sequenceNumber;
        this.maxUsefulLatencyUs = maxUsefulLatencyUs;
        this.usefulUntilUs = nowUs + Math.min(request.timeLeftUs(), maxUsefulLatencyUs);
        this.incomplete = request.incomplete();
        this.relativeWork = relativeWork;
        this.deadlineUs = nowUs + request.timeLeftUs();
    }

    boolean isQueued() {
        return lane >= 0;
    }

    /** The first attempt that may have run or may still be running; null where there is none. */
    Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.provedNotRun) {
                return attempt;
            }
        }
        return null;
    }
}
