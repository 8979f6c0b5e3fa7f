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
    /** What a process takes without the bytes in the budgets: its heap, its code, its libraries. */
    static final int PROCESS_MB = 84;
    /** Least part of the budgets that follow from the heap, as a divisor, however low the limit is. */
    private static final int MIN_SHARE_DIVISOR = 3;
    private static final long BYTES_PER_MB = 1L << 20;

    /** Returns budgets that fit a heap of the size. */
    static ProxyMemory ofHeap(long maxHeapBytes) {
        return new ProxyMemory(
                new MemoryBudget((int) Math.min(MAX_BUDGET_BYTES, maxHeapBytes / INPUT_HEAP_DIVISOR)),
                new MemoryBudget((int) Math.min(MAX_BUDGET_BYTES, maxHeapBytes / TRANSFER_HEAP_DIVISOR)));
    }

    /**
     * Returns budgets that fit the heap and the limit on memory of all processes of the proxy together. A
     * limit that leaves nothing beside the processes themselves cannot be kept; the budgets are small then.
     *
     * @param maxHeapBytes the maximum size of the heap, in bytes
     * @param limitMb the limit from the configuration, in MB
     * @param processes how many processes may run at a time
     */
    static ProxyMemory of(long maxHeapBytes, int limitMb, int processes) {
        double heapShare = 1.0 / INPUT_HEAP_DIVISOR + 1.0 / TRANSFER_HEAP_DIVISOR;
        double wantedBytes = maxHeapBytes * heapShare;
        double leftBytes = ((double) limitMb / processes - PROCESS_MB) * BYTES_PER_MB;
        double budgetBytes = Math.max(wantedBytes / MIN_SHARE_DIVISOR, Math.min(wantedBytes, leftBytes));
        return ofHeap((long) (budgetBytes / heapShare));
    }

    /** Whether the limit leaves room for so many processes. */
    static boolean fits(int limitMb, int processes) {
        return limitMb >= PROCESS_MB * processes;
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
