package passhatch;

import java.util.SplittableRandom;
import passhatch.Balancer.DiscoveryFailure;

/**
 * The delay before discovery is called again: an exponential backoff with jitter. Discovery refuses calls
 * when it has too many of them, so refusals have longer delays than calls that got no response: if every
 * proxy of a fleet called again at once, the refused calls alone would keep discovery overloaded.
 */
final class DiscoveryBackoff {

    /** Full length of the first delay. */
    private static final long INITIAL_DELAY_US = 250_000;
    /**
     * Longest delay after a refusal. A change counts as reported 6 s after discovery can be reached, and
     * must be followed 2.5 s later. Two such delays and 3 s of waiting in discovery's queue fit into that
     * time.
     */
    private static final long MAX_DELAY_AFTER_REFUSAL_US = 2_500_000;
    /** Longest delay after a call without a response, which may itself have taken 4.5 s of that time. */
    private static final long MAX_DELAY_UNANSWERED_US = 1_000_000;
    private static final int MAX_DOUBLINGS = 6;
    /** Jitter shortens a delay to at least this fraction of its full length. */
    private static final double MIN_DELAY_FRACTION = 0.5;

    private final long maxDelayUs;
    private final SplittableRandom random;
    private int consecutiveFailures;

    /**
     * Creates a backoff without any failure so far.
     *
     * @param maxDelayUs upper limit of each delay, in microseconds; 0 for no such limit
     * @param random source of the jitter
     */
    DiscoveryBackoff(long maxDelayUs, SplittableRandom random) {
        this.maxDelayUs = maxDelayUs > 0 ? maxDelayUs : Long.MAX_VALUE;
        this.random = random;
    }

    /** Starts again with the shortest delay, after a response from discovery. */
    void reset() {
        consecutiveFailures = 0;
    }

    /** Counts a failed call and returns the delay before the next one, in microseconds. */
    long nextDelayUs(DiscoveryFailure failure) {
        long maxForFailureUs = failure == DiscoveryFailure.REFUSED ? MAX_DELAY_AFTER_REFUSAL_US
                : MAX_DELAY_UNANSWERED_US;
        long fullDelayUs = Math.min(maxDelayUs, Math.min(maxForFailureUs,
                INITIAL_DELAY_US << Math.min(consecutiveFailures++, MAX_DOUBLINGS)));
        return (long) (fullDelayUs * (MIN_DELAY_FRACTION + (1 - MIN_DELAY_FRACTION) * random.nextDouble()));
    }
}
