package passhatch.lab.pressure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.lab.pressure.LeavingClients.Behind;
import passhatch.lab.pressure.LeavingClients.Leaving;
import passhatch.lab.pressure.LeavingClients.Plan;
import passhatch.lab.pressure.LeavingRun.Event;
import passhatch.lab.pressure.LeavingRun.Report;

/** Clients of deployed proxies that leave with much behind their requests. */
@Timeout(120)
final class AttemptsAfterACloseTest {

    // Guards against attempts that begin after a close that stood behind input that was not read.
    @ParameterizedTest
    @CsvSource({
        "24, 1, false, SMALL, 1, CLOSE, NONE",
        "24, 3, false, SMALL, 1, CLOSE, NONE",
        "24, 1, false, SMALL, 20, CLOSE, NONE",
        "24, 4, false, BODIES_OF_300_BYTES, 5, CLOSE, NONE",
        "24, 1, false, BODIES_OF_300_BYTES, 1, RESET, NONE",
        "24, 1, true, SMALL, 1, CLOSE, NONE",
        "60, 3, false, SMALL, 1, CLOSE, UPGRADE",
        "24, 1, false, SMALL, 1, CLOSE, STOP",
    })
    void noAttemptBeginsOnceItsClientHasLeft(int clients, int requests, boolean uploads, Behind behind,
            int requestsPerWrite, Leaving leaving, Event event) throws Exception {
        Plan plan = new Plan(clients, requests, uploads, behind, requestsPerWrite, leaving);
        Report report = LeavingRun.play(Path.of(".."), plan, event);
        assertTrue(report.attempts() > 0, report::summary);
        assertEquals(0, report.late(), report::summary);
    }
}
