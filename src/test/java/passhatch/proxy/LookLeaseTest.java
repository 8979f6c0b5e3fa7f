package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Who may read on while memory is scarce. */
final class LookLeaseTest {

    private long nowUs = 1;
    private final LookLease lease = new LookLease(new Clock(() -> nowUs * 1_000));

    @Test
    void oneHolderAtATime() {
        assertTrue(lease.acquire("a"));
        assertTrue(lease.isHeldBy("a"));
        assertFalse(lease.acquire("b"));
        assertFalse(lease.isHeldBy("b"));
        lease.release("b");
        assertFalse(lease.acquire("b"));
        assertTrue(lease.acquire("a"));
        lease.release("a");
        assertTrue(lease.acquire("b"));
    }

    @Test
    void whoDoesNotAskAgainLosesIt() {
        assertTrue(lease.acquire("a"));
        nowUs += 3 * ClientPresence.SETTLE_TIME_US;
        assertTrue(lease.acquire("a"), "renewed");
        nowUs += 3 * ClientPresence.SETTLE_TIME_US;
        assertFalse(lease.acquire("b"));
        nowUs += ClientPresence.SETTLE_TIME_US;
        assertTrue(lease.acquire("b"));
    }
}
