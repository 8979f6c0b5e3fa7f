package passhatch.lab.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The load sends its requests as planned, independently of how the calls end. */
@Timeout(60)
final class OpenLoopLoadTest {

    private static final Duration DURATION = Duration.ofMillis(300);
    private static final int PLANNED = 60;
    private static final Duration GRACE = Duration.ofSeconds(40);

    private static LoadResult runLoad(InetSocketAddress target, int connections, Duration grace)
            throws InterruptedException {
        try (OpenLoopLoad load = new OpenLoopLoad(target, connections, 1)) {
            return load.run(PLANNED / 0.3, DURATION, grace);
        }
    }

    @Test
    void allRequestsAreSentServedAndCounted() throws Exception {
        try (StubBackends backends = new StubBackends(1)) {
            LoadResult result = runLoad(backends.addresses().get(0), PLANNED, GRACE);
            assertEquals(List.of(PLANNED, PLANNED, PLANNED, PLANNED),
                    List.of(result.planned(), result.sent(), result.served(), result.ended()));
        }
    }

    /** With too few connections, queued requests are not sent but still count as planned. */
    @ParameterizedTest
    @CsvSource({"60, 60", "7, 7"})
    void aStalledBackendDoesNotDelayPlannedRequests(int connections, int maxSent) throws Exception {
        try (StubBackends backends = new StubBackends(1)) {
            backends.stall(true);
            LoadResult result = runLoad(backends.addresses().get(0), connections, Duration.ZERO);
            assertEquals(PLANNED, result.planned());
            assertTrue(result.sent() <= maxSent && result.served() == 0);
        }
    }

    /**
     * The backend is stalled during the whole load, so the first request has the highest latency and the last
     * the lowest.
     */
    @Test
    void latencyCountsFromThePlannedTime() throws Exception {
        try (StubBackends backends = new StubBackends(1);
                OpenLoopLoad load = new OpenLoopLoad(backends.addresses().get(0), PLANNED, 1)) {
            backends.stall(true);
            Thread release = new Thread(() -> {
                while (backends.delayedResponseCount() < PLANNED) {
                    Thread.yield();
                }
                backends.stall(false);
            });
            release.start();
            LoadResult result = load.run(PLANNED / 0.3, DURATION, GRACE);
            release.join();
            assertEquals(PLANNED, result.served());
            long spreadUs = result.latencyUs().getMaxValue() - result.latencyUs().getMinValue();
            assertTrue(spreadUs > DURATION.toMillis() * 500, () -> spreadUs + " us");
        }
    }

    @Test
    void refusedConnectionsCountAsNotServed() throws Exception {
        InetSocketAddress closedPort;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        LoadResult result = runLoad(closedPort, PLANNED, GRACE);
        assertEquals(List.of(PLANNED, 0, 0, PLANNED),
                List.of(result.planned(), result.sent(), result.served(), result.ended()));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"0-3|0,1,2,3", "6|6", "0,2-3,7|0,2,3,7"})
    void coreListsAreParsed(String text, String cores) {
        assertEquals(cores, String.join(",",
                CoreAssignment.parse(text).stream().map(String::valueOf).toList()));
    }
}
