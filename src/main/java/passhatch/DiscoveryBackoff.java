package passhatch;

import java.util.SplittableRandom;
import passhatch.Balancer.DiscoveryFailure;

/**
 * How long to wait before discovery is called again: an exponential backoff with jitter. A discovery that
 * refuses calls has too many of them, so refusals are followed by longer pauses than calls that did not reach
 * it: where each proxy of a fleet asked again at once, their refused calls alone would keep it refusing.
 */
final class DiscoveryBackoff {

    private static final long INITIAL_DELAY_US = 250_000;
    /**
     * Changes count as told 6 s after discovery can be reached and bind 2.5 s later: two such pauses and a
     * wait of 3 s in discovery's queue fit into that.
     */
    private static final long MAX_DELAY_AFTER_REFUSAL_US = 2_500_000;
    /** A call that got no answer may have taken 4.5 s of that time itself. */
    private static final long MAX_DELAY_UNANSWERED_US = 1_000_000;
    private static final int MAX_DOUBLINGS = 6;
    /** A pause is at least this part of its full length. */
    private static final double MIN_DELAY_FRACTION = 0.5;

    private final long maxDelayUs;
    private final SplittableRandom random;
    private int consecutiveFailures;

    /**
     * A backoff before the first failure.
     *
     * @param maxDelayUs no pause may be longer; 0 for no such limit
     */
    DiscoveryBackoff(long maxDelayUs, SplittableRandom random) {
        this.maxDelayUs = maxDelayUs > 0 ? maxDelayUs : Long.MAX_VALUE;
        this.random = random;
    }

    /** Discovery has spoken. */
    void reset() {
        consecutiveFailures = 0;
    }

    /** The pause after one more call that failed. */
    long nextDelayUs(DiscoveryFailure failure) {
        long maxForFailureUs = failure == DiscoveryFailure.REFUSED ? MAX_DELAY_AFTER_REFUSAL_US
                : MAX_DELAY_UNANSWERED_US;
        long fullDelayUs = Math.min(maxDelayUs, Math.min(maxForFailureUs,
                INITIAL_DELAY_US << Math.min(consecutiveFailures++, MAX_DOUBLINGS)));
        return (long) (fullDelayUs * (MIN_DELAY_FRACTION + (1 - MIN_DELAY_FRACTION) * random.nextDouble()));
    }
}
