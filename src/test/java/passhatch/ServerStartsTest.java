package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** Starts told as wall time, where the wall clock of one machine is off. */
final class ServerStartsTest {

    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final long NOW = 100_000 * SECOND;

    private final ServerStarts starts = new ServerStarts();

    private long startOf(String id, long nowUs, long toldUs) {
        return starts.startOf(nowUs, new Server(id, toldUs, 0, 0, ServerStatus.UP));
    }

    @Test
    void aStartThatMayBeTrueIsTaken() {
        assertEquals(0, startOf("old", NOW, 0));
        assertEquals(NOW - HOUR, startOf("first list", NOW, NOW - HOUR));
        starts.heard(NOW);
        assertEquals(NOW - SECOND, startOf("new", NOW + SECOND, NOW - SECOND));
    }

    @Test
    void aStartInTheFutureIsNowAndStays() {
        assertEquals(NOW, startOf("s", NOW, NOW + HOUR));
        assertEquals(NOW, startOf("s", NOW + 9 * SECOND, NOW + HOUR));
    }

    @Test
    void aStartLongBeforeTheListThatLackedItIsNow() {
        starts.heard(NOW);
        assertEquals(NOW + SECOND, startOf("s", NOW + SECOND, NOW - HOUR));
        assertEquals(NOW + SECOND, startOf("s", NOW + 8 * SECOND, NOW - HOUR));
        assertEquals(NOW + 9 * SECOND, startOf("s", NOW + 9 * SECOND, NOW + SECOND - HOUR));
    }

    @Test
    void aServerThatReturnsWithTheSameStartKeepsIt() {
        assertEquals(NOW - HOUR, startOf("s", NOW, NOW - HOUR));
        starts.heard(NOW);
        assertEquals(NOW - HOUR, startOf("s", NOW + 30 * SECOND, NOW - HOUR));
    }
}
