package passhatch.lab.pressure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.lab.pressure.HttpCall.Ending;

/** Requests through a deployed proxy whose servers are slow or whose clients leave. */
@Timeout(120)
final class SlowServerTest {

    private static PressureRun.Timing time(String scenario) throws Exception {
        try (PressureRun run = new PressureRun(Path.of(".."), PressureRun.MEMORY_MB)) {
            return run.time(scenario);
        }
    }

    // Guards against a final answer seconds late because a server read a long request slowly.
    @ParameterizedTest
    @ValueSource(strings = {"UPLOAD_WITH_LENGTH", "UPLOAD_IN_CHUNKS", "UPLOAD_TO_FASTER_SERVER"})
    void noFinalAnswerIsLateHoweverSlowlyAServerReads(String scenario) throws Exception {
        PressureRun.Timing timing = time(scenario);
        assertEquals(0, timing.count(Ending.LATE) + timing.count(Ending.CLOSED), timing::summary);
    }

    // Guards against an upload that is refused because more of it waits unread.
    @ParameterizedTest
    @ValueSource(strings = "UPLOAD_TO_FAST_SERVER")
    void longRequestsToFastServersAreServed(String scenario) throws Exception {
        PressureRun.Timing timing = time(scenario);
        assertEquals(TimedRequest.REQUESTS, timing.count(Ending.SERVED), timing::summary);
    }

    // Guards against a long response without a length that was cut off at its deadline after a pause.
    @ParameterizedTest
    @ValueSource(strings = {"PAUSED_RESPONSE_IN_CHUNKS", "PAUSED_RESPONSE_TO_THE_CLOSE"})
    void aResponseThatPausesNearItsStartIsForwardedWhole(String scenario) throws Exception {
        PressureRun.Timing timing = time(scenario);
        assertEquals(TimedRequest.REQUESTS, timing.count(Ending.SERVED), timing::summary);
    }

    // Guards against input that was read only after its client had left, and forwarded then.
    @ParameterizedTest
    @ValueSource(strings = {"LEFT_UPLOAD", "LEFT_PIPELINED"})
    void nothingIsForwardedOnceItsClientHasLeft(String scenario) throws Exception {
        PressureRun.Timing timing = time(scenario);
        assertEquals(List.of(), timing.sentAfterClose(), timing::summary);
    }

    // Guards against an id that was forgotten when its client left, and by the other process of an upgrade.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anIdThatMustRunOnceDoesNotRunAgainAfterItsClientLeft(boolean upgrade) throws Exception {
        try (PressureRun run = new PressureRun(Path.of(".."), PressureRun.MEMORY_MB)) {
            if (upgrade) {
                run.startProxy();
            }
            PressureRun.Timing timing = run.time("REPEATED_ID");
            assertEquals(List.of(), timing.ranTwice(), timing::summary);
        }
    }
}
