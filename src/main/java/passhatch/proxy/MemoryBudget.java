package passhatch.proxy;

/**
 * Counts the bytes that are held for one purpose, over all connections, and limits them. Each connection may
 * hold little, but there may be many connections, and together they have to fit into the memory of the
 * process. Not thread-safe: used by the event loop only.
 */
final class MemoryBudget {

    /** Most bytes that one read from a socket brings while the budget is scarce. */
    static final int SCARCE_READ_BYTES = 1 << 12;

    private final int maxBytes;
    private int heldBytes;
    private int maxHeldBytes;
    /** How often a reservation did not fit. */
    private long failedReservations;

    /** Creates a budget of which nothing is used. */
    MemoryBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts the bytes as held; returns false and counts nothing if fewer are left. */
    boolean reserve(int bytes) {
        if (heldBytes + bytes > maxBytes) {
            failedReservations++;
            return false;
        }
        hold(bytes);
        return true;
    }

    /** Counts bytes that are held already, also beyond the limit. */
    void hold(int bytes) {
        heldBytes += bytes;
        maxHeldBytes = Math.max(maxHeldBytes, heldBytes);
    }

    /** Gives back bytes that were counted as held before. */
    void release(int bytes) {
        heldBytes -= bytes;
    }

    /** Whether half of the budget is used, so that whoever holds something should not read more. */
    boolean isScarce() {
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
