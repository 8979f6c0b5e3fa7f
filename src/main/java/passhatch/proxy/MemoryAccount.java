package passhatch.proxy;

import java.util.function.Predicate;

/**
 * What one client connection holds of the memory for client input. When that is used up, the connection that
 * has held most for longest has to give way, so that clients which stop half way do not keep others from
 * being served. Used by the event loop only; times are in microseconds of the proxy's clock.
 */
final class MemoryAccount implements MemorySource {

    /** A connection that holds no more than this counts as small: a request with no body or a short one. */
    static final int SMALL_BYTES = 1 << 13;

    private final MemoryBudget budget;
    private final Clock clock;
    private final Predicate<MemoryAccount> reclaimer;
    private int heldBytes;
    /** Since when more than {@link #SMALL_BYTES} are held; 0 if they are not. */
    private long largeSinceUs;

    /**
     * Creates an account that holds nothing.
     *
     * @param reclaimer has another connection give way to this account; false if there is none that should
     */
    MemoryAccount(MemoryBudget budget, Clock clock, Predicate<MemoryAccount> reclaimer) {
        this.budget = budget;
        this.clock = clock;
        this.reclaimer = reclaimer;
    }

    @Override
    public boolean reserve(int bytes) {
        boolean isSmall = heldBytes + bytes <= SMALL_BYTES;
        while (!(isSmall ? budget.reserve(bytes) : budget.reserveLarge(bytes))) {
            int heldBefore = budget.heldBytes();
            if (!reclaimer.test(this) || budget.heldBytes() >= heldBefore) {
                return false;
            }
        }
        changed(bytes);
        return true;
    }

    @Override
    public void hold(int bytes) {
        budget.hold(bytes);
        changed(bytes);
    }

    @Override
    public void release(int bytes) {
        budget.release(bytes);
        changed(-bytes);
    }

    private void changed(int bytes) {
        heldBytes += bytes;
        if (!isLarge()) {
            largeSinceUs = 0;
        } else if (largeSinceUs == 0) {
            largeSinceUs = clock.nowUs();
        }
    }

    @Override
    public boolean isScarce() {
        return budget.isScarce();
    }

    /** Whether connections that hold much could still hold more, without another one giving way. */
    boolean hasRoomForLarge() {
        return budget.hasRoomForLarge();
    }

    /** Whether it holds enough to be asked to give way. */
    boolean isLarge() {
        return heldBytes > SMALL_BYTES;
    }

    /** How much it holds times for how long, in byte-microseconds; 0 if it is small. */
    double weight() {
        return isLarge() ? (double) heldBytes * (clock.nowUs() - largeSinceUs + 1) : 0;
    }
}
