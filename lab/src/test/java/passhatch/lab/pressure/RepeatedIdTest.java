package passhatch.lab.pressure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ids that come again after their client has left, with something between that could forget them. */
@Timeout(60)
final class RepeatedIdTest {

    private static final Duration TIME = Duration.ofMillis(1_500);
    private static final String FIRST_COPY = HttpCall.postHead("/settle/1?serviceMs=300", "again", TIME, 0);

    // Guards against an id that a kill, a reload or many requests behind it make the proxy forget.
    @ParameterizedTest
    @ValueSource(strings = {"RESTART", "RELOAD", "PIPELINED"})
    void anIdIsKnownAfterItsClientHasLeft(String event) throws Exception {
        try (PressureRun run = new PressureRun(Path.of(".."), PressureRun.MEMORY_MB)) {
            try (HttpCall first = new HttpCall(run.proxy().address(), 0)) {
                first.send(FIRST_COPY);
                if (event.equals("PIPELINED")) {
                    first.send(HttpCall.get("/read/1?serviceMs=300", "behind", TIME).repeat(2_000));
                }
                awaitArrival(run);
            }
            if (event.equals("RESTART")) {
                run.proxy().close();
                run.startProxy();
            } else if (event.equals("RELOAD")) {
                run.proxy().signal("HUP");
            }
            try (HttpCall second = new HttpCall(run.proxy().address(), 0)) {
                second.send(FIRST_COPY);
                assertEquals(409, second.read(System.nanoTime(), TIME, TIME).status());
            }
            assertEquals(1, arrivals(run));
        }
    }

    private static void awaitArrival(PressureRun run) {
        while (arrivals(run) == 0) {
            Thread.onSpinWait();
        }
    }

    private static long arrivals(PressureRun run) {
        return run.backends().arrivals().stream().filter(arrival -> arrival.id().equals("again")).count();
    }
}
