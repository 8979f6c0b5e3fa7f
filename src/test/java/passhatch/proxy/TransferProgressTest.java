package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Whether a backend is expected to complete a response that it sends slowly. */
final class TransferProgressTest {

    private long nowMs = 1;
    private final TransferProgress progress = new TransferProgress(new Clock(() -> nowMs * 1_000_000));

    private void receive(int bytes) {
        progress.responseReceived(bytes);
        progress.advanced();
    }

    @Test
    void aPauseOfUnderTwoSecondsIsNoStall() {
        progress.advanced();
        progress.responseStarted(500);
        nowMs += 1_900;
        assertTrue(progress.isStillGiving(true));
        receive(1_000);
        nowMs += 1_900;
        assertTrue(progress.isStillGiving(true));
        nowMs += 200;
        assertFalse(progress.isStillGiving(true));
    }

    @Test
    void aTrickleIsNotExpectedToComplete() {
        progress.advanced();
        progress.responseStarted(500);
        for (int i = 0; i < 19; i++) {
            nowMs += 100;
            receive(40);
            assertTrue(progress.isStillGiving(true));
        }
        nowMs += 100;
        receive(40);
        assertFalse(progress.isStillGiving(true));
    }

    @Test
    void aBackendThatIsNotReadCannotBeJudged() {
        progress.advanced();
        progress.responseStarted(500);
        nowMs += 10_000;
        assertTrue(progress.isStillGiving(false));
        progress.advanced();
        nowMs += 100;
        assertTrue(progress.isStillGiving(true));
    }
}
