package passhatch.lab.pressure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.lab.pressure.HttpCall.Ending;

/** What sound requests get from a deployed proxy beside as many clients as may hold something of it. */
@Timeout(120)
final class ClientPressureTest {

    /** A third of the descriptors. */
    private static final int CLIENTS = PressureRun.DESCRIPTORS / 3;
    /** Sound requests that must be served; a busy machine may cost a few of them their time. */
    private static final int MIN_SERVED = 95;

    private static final long KB_PER_MB = 1 << 10;
    /** Clients that nearly fill the connections of the proxy. */
    private static final int MANY_CLIENTS = 500;

    private static void assertSoundRequestsAreServed(String scenario) throws Exception {
        try (PressureRun run = new PressureRun(Path.of(".."), PressureRun.MEMORY_MB)) {
            PressureRun.Report report = run.hold(scenario, CLIENTS, false);
            assertTrue(report.alive(), () -> report.summary() + "\n" + report.log());
            assertTrue(report.count(Ending.SERVED) >= MIN_SERVED,
                    () -> report.summary() + "\n" + report.metrics());
            assertEquals(0, report.count(Ending.CLOSED), report::summary);
        }
    }

    // Guards against the end of a process with a full heap: a field of 5 bytes took some 140 of heap.
    @ParameterizedTest
    @ValueSource(strings = {"SHORT_FIELDS", "SHORT_FIELDS_IN_PIECES", "SHORT_FIELDS_WHOLE"})
    void headsOfManyShortFieldsDoNotFillTheHeap(String scenario) throws Exception {
        assertSoundRequestsAreServed(scenario);
    }

    // Guards against the decoded parts of one read, a thousand and more, that kept others from their turn.
    @ParameterizedTest
    @ValueSource(strings = {"SHORT_REQUESTS", "ONE_BYTE_CHUNKS"})
    void manySmallPartsLeaveOthersTheirTurn(String scenario) throws Exception {
        assertSoundRequestsAreServed(scenario);
    }

    // Guards against open requests whose paths and keys fill the heap; their servers are slow for others too.
    @Test
    void longPathsAndKeysOfOpenRequestsDoNotFillTheHeap() throws Exception {
        try (PressureRun run = new PressureRun(Path.of(".."), PressureRun.MEMORY_MB)) {
            PressureRun.Report report = run.hold("LONG_NAMES", MANY_CLIENTS, false);
            assertTrue(report.alive(), () -> report.summary() + "\n" + report.log());
            assertEquals(0, report.count(Ending.CLOSED), report::summary);
        }
    }

    // Guards against two processes of an upgrade that together pass the limit on memory.
    @Test
    void bothProcessesOfAnUpgradeStayWithinTheLimit() throws Exception {
        try (PressureRun run = new PressureRun(Path.of(".."), PressureRun.MEMORY_MB)) {
            PressureRun.Report report = run.hold("HALF_BODIES", CLIENTS, true);
            assertTrue(report.alive(), () -> report.summary() + "\n" + report.log());
            assertTrue(report.peakMemoryKb() <= PressureRun.MEMORY_MB * KB_PER_MB, report::summary);
            assertTrue(report.count(Ending.SERVED) >= MIN_SERVED, report::summary);
        }
    }
}
