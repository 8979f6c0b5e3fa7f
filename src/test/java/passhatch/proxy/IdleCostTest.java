package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.SingleThreadEventExecutor;
import io.netty.util.internal.ThreadExecutorMap;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The processor time that waiting requests take. */
@Timeout(60)
final class IdleCostTest {

    private static final int REQUESTS = 20;
    private static final int OPEN_REQUESTS = 4;
    private static final int CHECKS = 200;

    @TempDir
    Path folder;

    /** Tasks that wait for the event loop on which this is called. */
    private static int queuedTasks() {
        return ((SingleThreadEventExecutor) ThreadExecutorMap.currentExecutor()).pendingTasks();
    }

    // Guards against an event loop that spins while a client has more requests buffered than may be open.
    @Test
    void bufferedRequestsBehindOpenOnesTakeNoProcessorTime() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        CountDownLatch received = new CountDownLatch(OPEN_REQUESTS);
        try (Rig rig = new Rig(folder)) {
            rig.start(Rig.entry("s", rig.backend((connection, request) -> {
                received.countDown();
                mayRespond.await();
                connection.respond("200 OK", "x");
            }).address(), "SERVING"));
            HttpTestConnection client = rig.client();
            for (int i = 0; i < REQUESTS; i++) {
                client.write(Rig.get("r" + i, ""));
            }
            assertTrue(received.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            int idleChecks = 0;
            for (int i = 0; i < CHECKS; i++) {
                idleChecks += (int) rig.proxy().submitToLoop(IdleCostTest::queuedTasks).get() == 0 ? 1 : 0;
            }
            assertTrue(idleChecks > CHECKS / 2, "checks without a queued task: " + idleChecks);
            mayRespond.countDown();
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(200, client.read().status());
            }
        }
    }
}
