package passhatch.lab.discovery;

import java.time.Duration;

/**
 * The simulated costs of calls to discovery, which serves one call at a time. Sending a change to open
 * watches is not a call and costs nothing.
 *
 * @param perCall service time of each call
 * @param perLine additional service time for each backend in the response
 * @param maxWait a call that has been queued for this long is answered 503
 * @param maxQueueLength a call that finds this many calls queued is answered 503 at once
 * @param perRejection service time of each call that is rejected because the queue is full
 */
public record CallCosts(Duration perCall, Duration perLine, Duration maxWait, int maxQueueLength,
        Duration perRejection) {

    /** Creates costs without service time for rejected calls. */
    public CallCosts(Duration perCall, Duration perLine, Duration maxWait, int maxQueueLength) {
        this(perCall, perLine, maxWait, maxQueueLength, Duration.ZERO);
    }

    /** No simulated service time; calls cost only the CPU time that they really take. */
    public static final CallCosts NONE = new CallCosts(Duration.ZERO, Duration.ZERO, Duration.ofSeconds(2),
            Integer.MAX_VALUE);

    /** Returns the service time in nanoseconds of a call whose response has the given number of backends. */
    long serviceTimeNs(int lines) {
        return perCall.toNanos() + perLine.toNanos() * lines;
    }
}
