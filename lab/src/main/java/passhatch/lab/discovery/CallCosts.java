package passhatch.lab.discovery;

import java.time.Duration;

/**
 * What a call costs the service, which handles calls one after another. Handing a change to the watches that
 * are open is no call.
 *
 * @param perCall time for each call
 * @param perLine and for each backend in its answer
 * @param maxWait a call that waited for so long is answered 503
 * @param maxQueueLength a call that finds so many waiting is answered 503 at once
 * @param perRejection time for each call that is answered 503
 */
public record CallCosts(Duration perCall, Duration perLine, Duration maxWait, int maxQueueLength,
        Duration perRejection) {

    /** Costs where it costs nothing to turn a call away. */
    public CallCosts(Duration perCall, Duration perLine, Duration maxWait, int maxQueueLength) {
        this(perCall, perLine, maxWait, maxQueueLength, Duration.ZERO);
    }

    /** Calls that cost nothing but the processor time that they take. */
    public static final CallCosts NONE = new CallCosts(Duration.ZERO, Duration.ZERO, Duration.ofSeconds(2),
            Integer.MAX_VALUE);

    long serviceTimeNs(int lines) {
        return perCall.toNanos() + perLine.toNanos() * lines;
    }
}
