package passhatch.proxy;

import io.netty.util.internal.PlatformDependent;

/**
 * The memory budgets of a proxy. Used by the event loop only.
 *
 * @param input bytes of client input that are buffered: requests read ahead, and bodies
 * @param transfer bytes on their way to the other side: buffered responses, and what has been given to a
 *     connection and not been taken by the network yet
 */
record ProxyMemory(MemoryBudget input, MemoryBudget transfer) {

    /** Client input may occupy the maximum heap size divided by this. */
    private static final int INPUT_HEAP_DIVISOR = 6;
    /** Bytes on their way may occupy the maximum heap size divided by this. */
    private static final int TRANSFER_HEAP_DIVISOR = 5;
    private static final long MAX_BUDGET_BYTES = 1L << 30;

    /** Returns budgets that fit a heap of the size. */
    static ProxyMemory ofHeap(long maxHeapBytes) {
        return new ProxyMemory(
                new MemoryBudget((int) Math.min(MAX_BUDGET_BYTES, maxHeapBytes / INPUT_HEAP_DIVISOR)),
                new MemoryBudget((int) Math.min(MAX_BUDGET_BYTES, maxHeapBytes / TRANSFER_HEAP_DIVISOR)));
    }

    /** Adds what is held now, and the most that was held at a time, in bytes. */
    void addMetrics(Metrics.Sink sink) {
        sink.add("memory.input_bytes", input.heldBytes());
        sink.add("memory.input_bytes_max", input.maxHeldBytes());
        sink.add("memory.transfer_bytes", transfer.heldBytes());
        sink.add("memory.transfer_bytes_max", transfer.maxHeldBytes());
        sink.add("memory.input_reservations_failed", input.failedReservations());
        sink.add("memory.transfer_reservations_failed", transfer.failedReservations());
        sink.add("memory.direct_bytes", Math.max(0, PlatformDependent.usedDirectMemory()));
        sink.add("memory.heap_bytes", Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
    }
}
