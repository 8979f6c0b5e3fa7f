package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which requests come in too slowly; time is handed in. */
final class ArrivalPaceTest {

    private static final long S = 1_000_000;

    private final ArrivalPace pace = new ArrivalPace();

    /** 64 kB a second, in pieces, after 2 s for the head. */
    @Test
    void aSlowClientMayTakeAsLongAsItTakes() {
        pace.begin();
        for (long at = 2 * S; at < 60 * S; at += S / 4) {
            assertFalse(pace.isOver(at, 0), "after " + at);
            pace.got(at, 16_000);
        }
    }

    @Test
    void whatComesToAHaltIsOverSoon() {
        pace.begin();
        pace.got(S / 10, 60_000);
        assertFalse(pace.isOver(2 * S, 0));
        assertTrue(pace.isOver(2_700_000, 0), "an answer is owed 3 s after connecting");
        pace.begin();
        pace.got(10 * S, 60_000);
        assertFalse(pace.isOver(10 * S + S / 2, 0));
        assertTrue(pace.isOver(11 * S + 1, 0));
    }

    @Test
    void aByteNowAndThenBuysNoTime() {
        pace.begin();
        for (long at = 0; at < 3 * S; at += S / 10) {
            pace.got(at, 10);
        }
        assertTrue(pace.isOver(3 * S, 0));
    }

    /** It was this proxy that did not read. */
    @Test
    void timeInWhichNothingIsReadDoesNotCount() {
        pace.begin();
        for (long at = 0; at < 30 * S; at += S / 10) {
            pace.hold(at);
            assertFalse(pace.isOver(at, 0));
        }
    }
}
