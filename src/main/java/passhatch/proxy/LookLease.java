package passhatch.proxy;

/**
 * The right to read much of an upload's input while memory is scarce. One connection has it at a time, so
 * that its look comes to an end; if several read on together, each would hold a part of the memory and none
 * could be sent. Used by the event loop only.
 */
final class LookLease {

    /** A holder that has not asked again for this long has lost interest. */
    private static final long DURATION_US = 4 * ClientPresence.SETTLE_TIME_US;

    private final Clock clock;
    private Object holder;
    private long expiresAtUs;

    LookLease(Clock clock) {
        this.clock = clock;
    }

    /** Gives the lease to the candidate, or renews it; false while another one holds it. */
    boolean acquire(Object candidate) {
        long nowUs = clock.nowUs();
        if (holder != null && holder != candidate && nowUs < expiresAtUs) {
            return false;
        }
        holder = candidate;
        expiresAtUs = nowUs + DURATION_US;
        return true;
    }

    /** Whether the candidate was the last to get the lease, and has not ended it. */
    boolean isHeldBy(Object candidate) {
        return holder == candidate;
    }

    /** Ends the lease if the candidate holds it. */
    void release(Object candidate) {
        if (holder == candidate) {
            holder = null;
        }
    }
}
