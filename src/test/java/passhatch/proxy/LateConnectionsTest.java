package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.Balancer.Actions;
import passhatch.LeastLoadedBalancer;

/**
 * Connections to backends that are established after their request's time is up: nothing may be written to
 * them. The event loop is blocked from the step in which it begins to connect, so that its next iteration
 * finds the connection established and the time passed.
 */
@Timeout(60)
final class LateConnectionsTest {

    @TempDir
    Path folder;
    private Rig rig;
    private final AtomicInteger sends = new AtomicInteger();
    private final CountDownLatch connecting = new CountDownLatch(1);
    private final CountDownLatch resumeLoop = new CountDownLatch(1);
    private ScriptedServer first;
    private ScriptedServer second;
    private final AtomicInteger receivedRequests = new AtomicInteger();

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
        first = rig.backend(this::resetFirstRequest);
        second = rig.backend(this::resetFirstRequest);
    }

    @AfterEach
    void tearDown() throws IOException {
        resumeLoop.countDown();
        rig.close();
    }

    private void resetFirstRequest(HttpTestConnection connection, HttpTestConnection.Message request)
            throws IOException {
        if (receivedRequests.getAndIncrement() == 0) {
            connection.reset();
        } else {
            connection.respond("200 OK", request.header("X-Request-Id"));
        }
    }

    /**
     * Starts a proxy whose event loop blocks right after it begins to connect for a send.
     *
     * @param blockingSend number of that send, from 1
     */
    private void startBlockingLoop(int blockingSend) throws Exception {
        rig.module((settings, seed, actions) -> new LeastLoadedBalancer(settings, seed,
                (Actions) Proxy.newProxyInstance(Actions.class.getClassLoader(),
                        new Class<?>[] {Actions.class}, (proxy, method, args) -> {
                            try {
                                Object result = method.invoke(actions, args);
                                if (method.getName().equals("send")
                                        && sends.incrementAndGet() == blockingSend) {
                                    connecting.countDown();
                                    rig.proxy().submitToLoop(() -> resumeLoop.await(
                                            HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                                }
                                return result;
                            } catch (InvocationTargetException wrapped) {
                                throw wrapped.getCause();
                            }
                        })))
                .start(Rig.entry("s", first.address(), "SERVING"),
                        Rig.entry("t", second.address(), "SERVING"));
    }

    /** Advances the proxy's clock, unblocks its event loop and returns the response. */
    private HttpTestConnection.Message resumeAfterMs(HttpTestConnection client, long delayMs)
            throws Exception {
        connecting.await();
        rig.advanceClock(delayMs);
        resumeLoop.countDown();
        return client.read();
    }

    @Test
    void writesNothingAfterTheDeadline() throws Exception {
        startBlockingLoop(1);
        HttpTestConnection client = rig.client();
        client.write(Rig.get("late", "X-Deadline: 8000m\r\n"));
        assertNotEquals(200, resumeAfterMs(client, 9_000).status());
        assertEquals(0, receivedRequests.get());
    }

    /** The first attempt may have run, and servers drop duplicates of its key for 9 s only. */
    @ParameterizedTest
    @CsvSource({"9100, 1", "5000, 2"})
    void writesNoRetryAfterTheDedupWindow(long delayMs, int expectedRequests) throws Exception {
        startBlockingLoop(2);
        HttpTestConnection client = rig.client();
        client.write(Rig.post("/buy", "keyed", "Idempotency-Key: k\r\n"));
        assertEquals(expectedRequests == 2, resumeAfterMs(client, delayMs).status() == 200);
        assertEquals(expectedRequests, receivedRequests.get());
    }
}
