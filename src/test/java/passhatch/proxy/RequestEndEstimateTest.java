package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When the last byte of a request can have been written at the earliest. */
final class RequestEndEstimateTest {

    private static final int PIECE_BYTES = 1 << 20;
    private final RequestEndEstimate estimate = new RequestEndEstimate();

    @Test
    void aShortRequestCanHaveBeenWrittenAtOnce() {
        for (int length : new int[] {-1, 900_000}) {
            estimate.start(1_000, length);
            estimate.handled(5_000, 300_000);
            assertTrue(estimate.isPossible());
            assertEquals(1_000, estimate.earliestUs(0));
            assertEquals(3_000, estimate.earliestUs(3_000));
        }
    }

    @Test
    void theEndOfALongRequestIsNotWrittenWhileMoreIsMissingThanTheSystemHolds() {
        estimate.start(0, 8L << 20);
        assertFalse(estimate.isPossible());
        for (int handled = 1; handled <= 3; handled++) {
            assertFalse(estimate.isPossible(), handled + " MiB");
            estimate.handled(handled * 1_000, PIECE_BYTES);
        }
        assertTrue(estimate.isPossible());
        assertEquals(2_000, estimate.earliestUs(0));
    }

    @Test
    void whatCameAfterATimeShowsThatTheEndWasNotWrittenThen() {
        estimate.start(0, -1);
        for (int handled = 1; handled <= 20; handled++) {
            estimate.handled(handled * 1_000, PIECE_BYTES);
        }
        assertTrue(estimate.earliestUs(0) >= 13_000 && estimate.earliestUs(0) <= 15_000,
                "earliest: " + estimate.earliestUs(0));
    }
}
