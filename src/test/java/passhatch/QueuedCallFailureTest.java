package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ServerStatus;

/** An error while one queued call is handled fails that call, and the calls queued behind it go on. */
final class QueuedCallFailureTest {

    private static final int CALLS = 4;

    private final FakeProxy proxy = new FakeProxy(new FakeProxy.Setup()).withServers("a");

    private List<String> queueCalls() {
        proxy.changeServer("a", 0, ServerStatus.GONE);
        List<String> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(proxy.request(FakeProxy.SAFE));
        }
        assertEquals(0, proxy.countActions("send"));
        return calls;
    }

    // The newest call is offered a server first.
    @Test
    void aCallThatCannotBeSentLeavesTheOthersTheirServer() {
        List<String> calls = queueCalls();
        proxy.failingRequest = calls.get(CALLS - 1);
        for (String server : List.of("b", "c", "d")) {
            proxy.changeServer(server, 0, ServerStatus.UP);
        }
        proxy.advanceTime(100);
        assertTrue(proxy.hasAction("fail " + proxy.failingRequest), proxy.actions.toString());
        for (String call : calls.subList(0, CALLS - 1)) {
            assertNotNull(proxy.latestServer(call), call + " was not sent: " + proxy.actions);
        }
    }

    @Test
    void aCallThatFailsIsForgotten() {
        List<String> calls = queueCalls();
        proxy.failingRequest = calls.get(0);
        proxy.changeServer("b", 0, ServerStatus.UP);
        proxy.advanceTime(2_000);
        assertEquals(1, proxy.countActions("fail " + proxy.failingRequest), "one final response");
        assertEquals(0, proxy.countActions("refuse " + proxy.failingRequest));
    }
}
