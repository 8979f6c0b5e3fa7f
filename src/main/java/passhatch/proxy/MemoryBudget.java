package passhatch.proxy;

/**
 * Counts the bytes that are held for one purpose, over all connections, and limits them. Each connection may
 * hold little, but there may be many connections, and together they have to fit into the memory of the
 * process. Not thread-safe: used by the event loop only.
 */
final class MemoryBudget implements MemorySource {

    /** Most bytes that one read from a socket brings while the budget is scarce. */
    static final int SCARCE_READ_BYTES = 1 << 12;

    /** The budget divided by this is left to holders of little. */
    private static final int SMALL_SHARE_DIVISOR = 8;

    private final int maxBytes;
    private int heldBytes;
    private int maxHeldBytes;
    /** How often a reservation did not fit. */
    private long failedReservations;

    /** Creates a budget of which nothing is used. */
    MemoryBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public boolean reserve(int bytes) {
        return reserveUpTo(maxBytes, bytes);
    }

    /** Reserves bytes for a holder of much, which has to leave some of the budget to holders of little. */
    boolean reserveLarge(int bytes) {
        return reserveUpTo(maxBytes - maxBytes / SMALL_SHARE_DIVISOR, bytes);
    }

    /** Whether a holder of much could reserve more now. */
    boolean hasRoomForLarge() {
        return heldBytes < maxBytes - maxBytes / SMALL_SHARE_DIVISOR;
    }

    private boolean reserveUpTo(int limitBytes, int bytes) {
        if (heldBytes + bytes > limitBytes) {
            failedReservations++;
            return false;
        }
        hold(bytes);
        return true;
    }

    @Override
    public void hold(int bytes) {
        heldBytes += bytes;
        maxHeldBytes = Math.max(maxHeldBytes, heldBytes);
    }

    @Override
    public void release(int bytes) {
        heldBytes -= bytes;
    }

    /** Whether half of the budget is used. */
    @Override
    public boolean isScarce() {
        return heldBytes >= maxBytes / 2;
    }

    /** Whether all of the budget is used, so that no new work should be taken on. */
    boolean isExhausted() {
        return heldBytes >= maxBytes;
    }

    /** The bytes that are held now. */
    int heldBytes() {
        return heldBytes;
    }

    /** How often a reservation did not fit. */
    long failedReservations() {
        return failedReservations;
    }

    /** The most bytes that were held at a time. */
    int maxHeldBytes() {
        return maxHeldBytes;
    }
}
