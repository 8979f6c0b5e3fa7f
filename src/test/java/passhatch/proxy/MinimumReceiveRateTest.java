package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which requests are received too slowly, with times set by the test. */
final class MinimumReceiveRateTest {

    private static final long SECOND_US = 1_000_000;

    private final MinimumReceiveRate receiveRate = new MinimumReceiveRate();

    /** The client sends 64 kB per second in pieces, after taking 2 s for the head. */
    @Test
    void clientAboveMinimumRateIsNeverTooSlow() {
        receiveRate.headCompleted(2 * SECOND_US);
        for (long nowUs = 2 * SECOND_US; nowUs < 60 * SECOND_US; nowUs += SECOND_US / 4) {
            assertFalse(receiveRate.isTooSlow(nowUs, 0), "too slow at time in us: " + nowUs);
            assertFalse(receiveRate.isTooSlowIfContended(nowUs, true, 0), "at the limit, at " + nowUs);
            receiveRate.bytesReceived(nowUs, 16_000);
        }
    }

    @Test
    void requestThatStopsArrivingIsTooSlow() {
        receiveRate.headCompleted(0);
        receiveRate.bytesReceived(SECOND_US / 10, 60_000);
        assertFalse(receiveRate.isTooSlow(2 * SECOND_US, 0));
        assertTrue(receiveRate.isTooSlow(2_700_000, 0), "a response is due within 3 s of connecting");
        receiveRate.headCompleted(9 * SECOND_US);
        receiveRate.bytesReceived(10 * SECOND_US, 60_000);
        assertFalse(receiveRate.isTooSlow(10 * SECOND_US + SECOND_US / 2, 0));
        assertTrue(receiveRate.isTooSlow(11 * SECOND_US + 1, 0));
    }

    @Test
    void clientBelowMinimumRateIsTooSlow() {
        receiveRate.headCompleted(0);
        for (long nowUs = 0; nowUs < 3 * SECOND_US; nowUs += SECOND_US / 10) {
            receiveRate.bytesReceived(nowUs, 10);
        }
        assertTrue(receiveRate.isTooSlow(3 * SECOND_US, 0));
    }

    /** The proxy itself paused reading, so the delay is not the client's fault. */
    @Test
    void timeWhileReadingIsPausedDoesNotCount() {
        receiveRate.headCompleted(0);
        for (long nowUs = 0; nowUs < 30 * SECOND_US; nowUs += SECOND_US / 10) {
            receiveRate.readingPaused(nowUs);
            assertFalse(receiveRate.isTooSlow(nowUs, 0));
        }
    }

    /** While others need the place, a head may take 2 s, and a body needs the minimum rate from its start. */
    @Test
    void whatStopsIsTooSlowEarlierIfOthersNeedThePlace() {
        assertFalse(receiveRate.isTooSlowIfContended(2 * SECOND_US, false, 0));
        assertTrue(receiveRate.isTooSlowIfContended(2_301_000, false, 0));
        receiveRate.headCompleted(2 * SECOND_US);
        assertFalse(receiveRate.isTooSlowIfContended(2_300_000, true, 0));
        assertTrue(receiveRate.isTooSlowIfContended(2_301_000, true, 0), "no body follows the head");
        receiveRate.bytesReceived(2_200_000, 4_000);
        assertFalse(receiveRate.isTooSlowIfContended(2_450_000, true, 0));
        assertTrue(receiveRate.isTooSlowIfContended(2_451_000, true, 0), "4 kB in 0.25 s, then nothing");
    }
}
