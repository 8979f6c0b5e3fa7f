package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;

/** A request held by this copy, from its arrival until its last attempt's outcome. */
final class Call {
    final Request request;
    final RequestClass requestClass;
    /** Its place in the order of arrival. */
    final long sequenceNumber;
    /** No answer later than this earns anything or is still listened to. */
    long usefulUntilUs;
    /** Its expected work, as a multiple of the usual; 1 where unknown. */
    final double relativeWork;
    /** When its client gives up. */
    long deadlineUs;
    /** The time that is of use to it, from its last byte on. */
    final long maxUsefulLatencyUs;
    /** It is still coming in, and nothing is known yet of how long an attempt takes. */
    boolean incomplete;
    /** It cannot be sent again. */
    boolean bodyDiscarded;
    /** The attempt whose answer is the client's already; null where there is none. */
    Attempt committedAttempt;
    final List<Attempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean ended;
    boolean overQuota;
    /** It had to wait for a server; those that did are sent only with a fair chance to be in time. */
    boolean wasQueued;
    int probeRounds;
    /** The call waits for probes until then. */
    long probeWaitUntilUs = Long.MIN_VALUE;
    /** Its lane in the queue, below 0 while it has none; and when it is looked at there whatever happens. */
    int lane = -1;
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

    /** The first attempt that may have run or may still run, or null. */
    Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.provedNotRun) {
                return attempt;
            }
        }
        return null;
    }
}
