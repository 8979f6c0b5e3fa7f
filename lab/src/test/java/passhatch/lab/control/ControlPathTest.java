package passhatch.lab.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.lab.control.ControlPath.Spell;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryServer.Mode;

/** Counts and ratios of the control path with fifty proxies: nothing here depends on how fast a machine is. */
@Timeout(120)
final class ControlPathTest {

    private static final int WATCHES = 50;
    private static final int LINES = 60;
    private static final Duration MOST = Duration.ofSeconds(60);

    private final ControlPath path = new ControlPath(LINES, CallCosts.NONE, 2, 1);

    @BeforeEach
    void open() throws InterruptedException {
        Spell open = path.open(WATCHES, MOST);
        assertEquals(WATCHES, path.watches());
        assertEquals(2 * WATCHES, open.calls().calls(), "the list, and a watch");
    }

    @AfterEach
    void close() {
        path.close();
    }

    @Test
    void oneChangeReachesEveryModuleAndIsAllThatIsSent() throws Exception {
        long wholeList = path.wholeListBytes();
        Spell change = path.change(1, MOST);
        assertEquals(0, change.unfinished());
        assertEquals(0, change.calls().calls());
        assertTrue(change.calls().sent() < WATCHES * wholeList / 10, () -> change.calls().sent() + " bytes");
    }

    @Test
    void aBurstReachesEveryModule() throws Exception {
        Spell burst = path.change(LINES, MOST);
        assertEquals(0, burst.unfinished());
        assertEquals(0, burst.calls().calls());
    }

    /** A slow machine may let a watch pass for silent: then it calls again, and so a proxy has some calls more. */
    @ParameterizedTest
    @EnumSource
    void everyWatchIsOpenedAnewWithFewCalls(Fault fault) throws Exception {
        long wholeList = path.wholeListBytes();
        Spell recovery = path.recover(fault, Duration.ZERO, MOST);
        assertEquals(0, recovery.unfinished());
        assertEquals(WATCHES, path.watches());
        long calls = recovery.calls().calls();
        assertTrue(calls >= WATCHES && calls <= 3 * WATCHES, () -> calls + " calls");
        // After an outage the history is lost, and one whole list each is due; never a second one.
        double lists = recovery.calls().sent() / (double) wholeList / calls;
        assertTrue(fault == Fault.OUTAGE ? lists < 1.5 : lists < 0.5, () -> lists + " lists a call");
    }

    @Test
    void callsThatFailAreRepeatedUntilTheWatchIsOpen() throws Exception {
        path.discovery().mode(Mode.FAILING);
        path.discovery().resetWatches();
        while (path.calls().turnedAwayInInterval() < 3 * WATCHES) {
            Thread.sleep(5);
        }
        path.discovery().mode(Mode.SERVING);
        Spell change = path.change(1, MOST);
        assertEquals(0, change.unfinished());
        assertEquals(WATCHES, path.watches());
        assertTrue(change.calls().calls() <= 3 * WATCHES, () -> change.calls().calls() + " calls");
    }
}
