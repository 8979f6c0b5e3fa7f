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
import passhatch.lab.control.ControlPath.PhaseResult;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryServer.Mode;

/**
 * Calls, bytes and propagation on the control path with 50 proxies. On a slow machine a proxy may take a
 * watch for silent and reopen it, so the numbers of calls are checked against bounds, not exact values.
 */
@Timeout(120)
final class ControlPathTest {

    private static final int WATCHES = 50;
    private static final int LINES = 60;
    private static final Duration MAX_WAIT = Duration.ofSeconds(60);

    private final ControlPath path = new ControlPath(LINES, CallCosts.NONE, 2, false, 1);

    @BeforeEach
    void open() throws InterruptedException {
        PhaseResult open = path.startProxies(WATCHES, MAX_WAIT);
        assertEquals(WATCHES, path.openWatches());
        assertCallCount(open, 2 * WATCHES, 4 * WATCHES);
    }

    private static void assertCallCount(PhaseResult phase, int min, int max) {
        long calls = phase.callStats().callCount();
        assertTrue(calls >= min && calls <= max, () -> calls + " calls");
    }

    @AfterEach
    void close() {
        path.close();
    }

    @Test
    void oneChangeReachesEveryModuleWithoutSendingFullLists() throws Exception {
        long fullListBytes = path.fullListBytes();
        PhaseResult change = path.changeBackends(1, MAX_WAIT);
        assertEquals(0, change.unfinishedProxies());
        assertCallCount(change, 0, WATCHES / 5);
        assertTrue(change.callStats().sentBytes() < WATCHES * fullListBytes / 10,
                () -> change.callStats().sentBytes() + " bytes");
    }

    @Test
    void changesOfAllBackendsReachEveryModule() throws Exception {
        PhaseResult burst = path.changeBackends(LINES, MAX_WAIT);
        assertEquals(0, burst.unfinishedProxies());
        assertCallCount(burst, 0, WATCHES / 5);
    }

    @ParameterizedTest
    @EnumSource
    void everyWatchIsReopenedWithFewCalls(WatchFault fault) throws Exception {
        long fullListBytes = path.fullListBytes();
        PhaseResult recovery = path.recover(fault, Duration.ZERO, MAX_WAIT);
        assertEquals(0, recovery.unfinishedProxies());
        assertEquals(WATCHES, path.openWatches());
        assertCallCount(recovery, WATCHES, 3 * WATCHES);
        // After an outage the history is lost, so each call gets one full list, but never two.
        double listsPerCall = recovery.callStats().sentBytes() / (double) fullListBytes / recovery
                .callStats().callCount();
        assertTrue(listsPerCall < (fault == WatchFault.OUTAGE ? 1.1 : 0.5),
                () -> listsPerCall + " lists a call");
    }

    @Test
    @Timeout(120)
    void failedCallsAreRetriedUntilTheWatchIsOpen() throws Exception {
        path.discovery().mode(Mode.FAILING);
        path.discovery().resetWatches();
        while (path.callRecorder().rejectedInCurrentInterval() < 3 * WATCHES) {
            Thread.sleep(5);
        }
        path.discovery().mode(Mode.SERVING);
        PhaseResult change = path.changeBackends(1, MAX_WAIT);
        assertEquals(0, change.unfinishedProxies());
        assertEquals(WATCHES, path.openWatches());
        assertCallCount(change, 0, 3 * WATCHES);
    }
}
