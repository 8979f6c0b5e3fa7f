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

/** The load keeps its plan whatever becomes of its calls. */
@Timeout(60)
final class OpenLoopLoadTest {

    private static final Duration TIME = Duration.ofMillis(300);
    private static final int PLANNED = 60;
    private static final Duration GRACE = Duration.ofSeconds(40);

    private static LoadResult load(InetSocketAddress target, int connections, Duration grace)
            throws InterruptedException {
        try (OpenLoopLoad load = new OpenLoopLoad(target, connections, 1)) {
            return load.run(PLANNED / 0.3, TIME, grace);
        }
    }

    @Test
    void allIsSentAndServedAndCounted() throws Exception {
        try (StandInBackends backends = new StandInBackends(1)) {
            LoadResult result = load(backends.addresses().get(0), PLANNED, GRACE);
            assertEquals(List.of(PLANNED, PLANNED, PLANNED, PLANNED),
                    List.of(result.planned(), result.sent(), result.served(), result.ended()));
        }
    }

    /** With too few connections what waits for one is not sent, and is still planned. */
    @ParameterizedTest
    @CsvSource({"60, 60", "7, 7"})
    void aStalledBackendHoldsNoArrivalBack(int connections, int sent) throws Exception {
        try (StandInBackends backends = new StandInBackends(1)) {
            backends.stall(true);
            LoadResult result = load(backends.addresses().get(0), connections, Duration.ZERO);
            assertEquals(PLANNED, result.planned());
            assertTrue(result.sent() <= sent && result.served() == 0);
        }
    }

    /** The backend stands still for the whole load: the first to come has waited longest, the last least. */
    @Test
    void waitingCountsFromThePlannedTime() throws Exception {
        try (StandInBackends backends = new StandInBackends(1);
                OpenLoopLoad load = new OpenLoopLoad(backends.addresses().get(0), PLANNED, 1)) {
            backends.stall(true);
            Thread release = new Thread(() -> {
                while (backends.heldBack() < PLANNED) {
                    Thread.yield();
                }
                backends.stall(false);
            });
            release.start();
            LoadResult result = load.run(PLANNED / 0.3, TIME, GRACE);
            release.join();
            assertEquals(PLANNED, result.served());
            long spreadUs = result.latencyUs().getMaxValue() - result.latencyUs().getMinValue();
            assertTrue(spreadUs > TIME.toMillis() * 500, () -> spreadUs + " us");
        }
    }

    @Test
    void callsThatFindNobodyEndAsNotServed() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        LoadResult result = load(nobody, PLANNED, GRACE);
        assertEquals(List.of(PLANNED, 0, 0, PLANNED),
                List.of(result.planned(), result.sent(), result.served(), result.ended()));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"0-3|0,1,2,3", "6|6", "0,2-3,7|0,2,3,7"})
    void listsOfCoresAreRead(String text, String cores) {
        assertEquals(cores, String.join(",", Cores.parse(text).stream().map(String::valueOf).toList()));
    }
}
