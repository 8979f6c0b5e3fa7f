package passhatch.proxy;

/**
 * Limits the bytes of client input that are buffered at a time, over all connections. Each connection may
 * have several requests of the maximum size open, and together these would not fit into the heap. Not
 * thread-safe: used by the event loop only.
 */
final class MemoryBudget {

    private final int maxBytes;
    private int reservedBytes;

    /** Creates a budget of which nothing is reserved. */
    MemoryBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves the bytes; returns false and reserves nothing if fewer are left. */
    boolean reserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Gives back bytes that were reserved before. */
    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
