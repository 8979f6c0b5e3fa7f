package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the memory budgets follow from the heap and the limit in the configuration. */
final class ProxyMemoryTest {

    private static final long HEAP_BYTES = 32L << 20;

    private static int inputBytes(int limitMb, int processes) {
        MemoryBudget input = ProxyMemory.of(HEAP_BYTES, limitMb, processes).input();
        int bytes = 0;
        while (input.reserve(1 << 10)) {
            bytes += 1 << 10;
        }
        return bytes;
    }

    @Test
    void bothProcessesOfAnUpgradeShareTheLimit() {
        assertEquals(inputBytes(2_048, 1), inputBytes(192, 1));
        assertEquals(inputBytes(2_048, 1), inputBytes(192, 2), 1 << 10);
        assertTrue(inputBytes(180, 2) < inputBytes(180, 1));
        assertTrue(ProxyMemory.fits(192, 2));
        assertFalse(ProxyMemory.fits(144, 2));
    }

    /** The least that the pages name is below what a JVM takes; some memory is used for clients even then. */
    @Test
    void aLimitBelowWhatAProcessTakesLeavesSmallBudgets() {
        assertFalse(ProxyMemory.fits(32, 1));
        assertEquals(inputBytes(2_048, 1) / 3, inputBytes(32, 1), 1 << 10);
    }
}
