package passhatch;

import java.util.SplittableRandom;
import passhatch.Balancer.DiscoveryFailure;

/**
 * How long to wait before discovery is called again: an exponential backoff with jitter. A discovery that
 * refuses calls has too many of them, so refusals are followed by longer pauses than calls that did not reach
 * it: where each proxy of a fleet asked again at once, their refused calls alone would keep it refusing.
 */
final class DiscoveryBackoff {

    private static final long FIRST_US = 250_000;
    /**
     * Changes count as told 6 s after discovery can be reached and bind 2.5 s later: two such pauses and a
     * wait of 3 s in discovery's queue fit into that.
     */
    private static final long LONGEST_AFTER_REFUSAL_US = 2_500_000;
    /** A call that got no answer may have taken 4.5 s of that time itself. */
    private static final long LONGEST_OTHERWISE_US = 1_000_000;
    private static final int MOST_DOUBLINGS = 6;
    /** A pause is at least this part of its full length. */
    private static final double LEAST_PART = 0.5;

    private final long mostUs;
    private final SplittableRandom random;
    private int failures;

    /**
     * A backoff before the first failure.
     *
     * @param mostUs no pause may be longer; 0 for no such limit
     */
    DiscoveryBackoff(long mostUs, SplittableRandom random) {
        this.mostUs = mostUs > 0 ? mostUs : Long.MAX_VALUE;
        this.random = random;
    }

    /** Discovery has spoken. */
    void reset() {
        failures = 0;
    }

    /** The pause after one more call that failed. */
    long nextPauseUs(DiscoveryFailure how) {
        long longest = how == DiscoveryFailure.REFUSED ? LONGEST_AFTER_REFUSAL_US : LONGEST_OTHERWISE_US;
        long full = Math.min(mostUs, Math.min(longest, FIRST_US << Math.min(failures++, MOST_DOUBLINGS)));
        return (long) (full * (LEAST_PART + (1 - LEAST_PART) * random.nextDouble()));
    }
}
