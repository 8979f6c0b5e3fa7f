package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * Start times of servers that lists report by a wall clock which is wrong. Guards against a server treated as
 * warmed up too early because its reported start is impossible.
 */
final class ServerStartsTest {

    private static final long SECOND_US = 1_000_000;
    private static final long HOUR_US = 3_600 * SECOND_US;
    private static final long NOW_US = 100_000 * SECOND_US;

    private final ServerStarts starts = new ServerStarts();

    private long startTimeUs(String id, long nowUs, long reportedUs) {
        return starts.startTimeUs(nowUs, new Server(id, reportedUs, 0, 0, ServerStatus.UP));
    }

    @Test
    void aPlausibleStartIsAccepted() {
        assertEquals(0, startTimeUs("old", NOW_US, 0));
        assertEquals(NOW_US - HOUR_US, startTimeUs("first list", NOW_US, NOW_US - HOUR_US));
        starts.listReceived(NOW_US);
        assertEquals(NOW_US - SECOND_US, startTimeUs("new", NOW_US + SECOND_US, NOW_US - SECOND_US));
    }

    @Test
    void aStartInTheFutureIsReplacedByNowForGood() {
        assertEquals(NOW_US, startTimeUs("s", NOW_US, NOW_US + HOUR_US));
        assertEquals(NOW_US, startTimeUs("s", NOW_US + 9 * SECOND_US, NOW_US + HOUR_US));
    }

    @Test
    void aNewStartLongBeforeTheLastListIsReplacedByNow() {
        starts.listReceived(NOW_US);
        assertEquals(NOW_US + SECOND_US, startTimeUs("s", NOW_US + SECOND_US, NOW_US - HOUR_US));
        assertEquals(NOW_US + SECOND_US, startTimeUs("s", NOW_US + 8 * SECOND_US, NOW_US - HOUR_US));
        assertEquals(NOW_US + 9 * SECOND_US,
                startTimeUs("s", NOW_US + 9 * SECOND_US, NOW_US + SECOND_US - HOUR_US));
    }

    @Test
    void aServerThatReturnsWithTheSameStartKeepsIt() {
        assertEquals(NOW_US - HOUR_US, startTimeUs("s", NOW_US, NOW_US - HOUR_US));
        starts.listReceived(NOW_US);
        assertEquals(NOW_US - HOUR_US, startTimeUs("s", NOW_US + 30 * SECOND_US, NOW_US - HOUR_US));
    }
}
