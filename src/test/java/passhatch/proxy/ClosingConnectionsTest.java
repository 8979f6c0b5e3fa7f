package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.Balancer;
import passhatch.Balancer.Actions;

/**
 * Tests requests that arrive on a client's connection just when the proxy closes it. The test blocks the
 * event loop while the client writes, so that the loop runs the task that closes the connection before it
 * reads.
 */
@Timeout(60)
final class ClosingConnectionsTest {

    private static final String READY_REQUEST = "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n";

    @TempDir
    Path folder;
    private Rig rig;
    private final BlockingQueue<String> receivedIds = new LinkedBlockingQueue<>();
    private volatile Actions actions;
    private volatile Runnable onModuleTimer;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /** Starts a proxy whose module holds requests with ids that begin with "held" and refuses all others. */
    private void start() throws Exception {
        rig.module((settings, seed, module) -> {
            actions = module;
            return ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request request) {
                    receivedIds.add(request.id());
                    if (!request.id().startsWith("held")) {
                        module.refuse(request.id(), 0);
                    }
                } else if (method.equals("timer")) {
                    onModuleTimer.run();
                }
            });
        }).start();
    }

    private HttpTestConnection connectAndCheckReady() throws IOException {
        HttpTestConnection client = rig.client();
        client.write(READY_REQUEST);
        assertEquals(200, client.read().status());
        return client;
    }

    private void awaitReceived(String id) throws InterruptedException {
        assertEquals(id, receivedIds.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /**
     * Of six pipelined requests four are accepted and answered in one task of the event loop; the other two
     * have been read already. So many connections are open that the last response closes the connection.
     */
    @Test
    void requestsReadAheadAreAnsweredBeforeConnectionCloses() throws Exception {
        rig.maxSockets(48);
        start();
        List<HttpTestConnection> otherClients = List.of(connectAndCheckReady(), connectAndCheckReady());
        HttpTestConnection client = rig.client();
        List<String> ids = List.of("held1", "held2", "held3", "held4", "e", "f");
        client.write(String.join("", ids.stream().map(id -> Rig.get(id, "")).toList()));
        for (String id : ids.subList(0, 4)) {
            awaitReceived(id);
        }
        rig.proxy().submitToLoop(() -> {
            for (int i = 3; i >= 0; i--) {
                actions.refuse(ids.get(i), 0);
            }
            return null;
        }).get();
        for (int i = 0; i < 6; i++) {
            assertEquals(i == 5 ? "close" : null, client.read().header("Connection"), ids.get(i));
        }
        assertNull(client.read());
        assertEquals(2, otherClients.size());
    }

    /** Input is unread when the response that ends the connection is written: that must not cause a reset. */
    @Test
    void unreadRequestsDoNotResetTheFinalResponse() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("held", "Connection: close\r\n"));
        awaitReceived("held");
        rig.proxy().submitToLoop(() -> {
            client.write(Rig.get("late", ""));
            actions.refuse("held", 0);
            return null;
        }).get();
        assertEquals(503, client.read().status());
        assertNull(client.read(), "the connection ends, without a reset");
        assertEquals(200, rig.call(READY_REQUEST).status());
        // A reset would have arrived by now, and this write would fail.
        client.write(Rig.get("later", ""));
        assertEquals(200, rig.call(READY_REQUEST).status());
        assertTrue(receivedIds.isEmpty(),
                "requests read after the last response were passed to the module: " + receivedIds);
    }

    /**
     * The request arrives either before the event loop's iteration in which idle connections are closed, or
     * within it, after the loop has read its sockets.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestArrivingDuringIdleCloseIsServed(boolean arrivesBeforeTimers) throws Exception {
        rig.freezeClock();
        start();
        HttpTestConnection client = connectAndCheckReady();
        onModuleTimer = () -> {
            rig.advanceClock(20_000);
            try {
                client.write(Rig.get("a", ""));
            } catch (IOException broken) {
                throw new UncheckedIOException(broken);
            }
        };
        rig.proxy().submitToLoop(() -> {
            if (arrivesBeforeTimers) {
                onModuleTimer.run();
            } else {
                actions.wakeAt(0);
            }
            // Blocks the loop until the check for idle connections is due as well: timers run in the order of
            // their times, after the sockets have been read.
            return new CountDownLatch(1).await(150, TimeUnit.MILLISECONDS);
        }).get();
        assertEquals(503, client.read().status());
        awaitReceived("a");
    }

    /**
     * All steps of the shutdown become due in the iteration of the event loop in which the last clients
     * connect and send requests, as can happen with short deadlines. The clients in the accept queue and the
     * one on a kept-alive connection must get their responses.
     */
    @ParameterizedTest
    @CsvSource({"true, 3", "true, 0", "false, 3"})
    void requestsArrivingDuringShutdownAreAnswered(boolean keptSendsRequest, int newConnections)
            throws Exception {
        rig.replaceInConfig("\"deadlineUs\":10000000", "\"deadlineUs\":300000");
        start();
        HttpTestConnection kept = connectAndCheckReady();
        rig.proxy().shutDown();
        rig.awaitLog("shutting down");
        List<HttpTestConnection> waitingClients = new ArrayList<>();
        rig.proxy().submitToLoop(() -> {
            if (keptSendsRequest) {
                kept.write(Rig.get("kept", ""));
                waitingClients.add(kept);
            } else {
                kept.close();
            }
            for (int i = 0; i < newConnections; i++) {
                HttpTestConnection client = rig.client();
                client.write(Rig.get("fresh" + i, ""));
                waitingClients.add(client);
            }
            return new CountDownLatch(1).await(600, TimeUnit.MILLISECONDS);
        }).get();
        for (HttpTestConnection client : waitingClients) {
            assertEquals(503, client.read().status());
        }
        assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
    }

    /**
     * A new connection that is closed before its first request is read counts as an error of the proxy; the
     * request may arrive a moment after the connection.
     */
    @Test
    void newConnectionMaySendItsRequestDuringShutdown() throws Exception {
        rig.freezeClock().replaceInConfig("\"deadlineUs\":10000000", "\"deadlineUs\":300000");
        start();
        rig.proxy().shutDown();
        rig.awaitLog("shutting down");
        HttpTestConnection newClient = rig.client();
        rig.awaitLog("the last connections are waited for");
        newClient.write(Rig.get("fresh", ""));
        assertEquals(503, newClient.read().status());
        rig.advanceClock(1_000);
        assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
    }
}
