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
 * What stands on a client's connection in the turn in which the proxy closes it. The loop stands still while
 * the client writes, and does what closes the connection before it reads.
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

    /** A module that holds what is named so and refuses all else. */
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

    /** Of six at once four are taken, and end in one step; the two behind have been read all the same. */
    @Test
    void requestsReadAheadAreAnsweredBeforeConnectionCloses() throws Exception {
        rig.sockets(48);
        start();
        List<HttpTestConnection> otherClients = List.of(connectAndCheckReady(), connectAndCheckReady());
        HttpTestConnection client = rig.client();
        List<String> ids = List.of("held1", "held2", "held3", "held4", "e", "f");
        client.write(String.join("", ids.stream().map(id -> Rig.get(id, "")).toList()));
        for (String id : ids.subList(0, 4)) {
            awaitReceived(id);
        }
        rig.proxy().inLoop(() -> {
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

    /** More stands unread when the answer that ends the connection is written: it must not be reset. */
    @Test
    void unreadRequestsDoNotResetTheFinalResponse() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("held", "Connection: close\r\n"));
        awaitReceived("held");
        rig.proxy().inLoop(() -> {
            client.write(Rig.get("late", ""));
            actions.refuse("held", 0);
            return null;
        }).get();
        assertEquals(503, client.read().status());
        assertNull(client.read(), "the end, and no reset");
        assertEquals(200, rig.call(READY_REQUEST).status());
        // A reset would have come by now, and this write would fail.
        client.write(Rig.get("later", ""));
        assertEquals(200, rig.call(READY_REQUEST).status());
        assertTrue(receivedIds.isEmpty(), "nothing read after the end is taken: " + receivedIds);
    }

    /** Both orders: the request has come before the turn of the sweep, or in it, after the loop has read. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestArrivingDuringIdleCloseIsServed(boolean arrivesBeforeTimers) throws Exception {
        rig.standStill();
        start();
        HttpTestConnection client = connectAndCheckReady();
        onModuleTimer = () -> {
            rig.pass(20_000);
            try {
                client.write(Rig.get("a", ""));
            } catch (IOException broken) {
                throw new UncheckedIOException(broken);
            }
        };
        rig.proxy().inLoop(() -> {
            if (arrivesBeforeTimers) {
                onModuleTimer.run();
            } else {
                actions.wakeAt(0);
            }
            // Until the sweep is due too: timers run in the order of their times, after the sockets are read.
            return new CountDownLatch(1).await(150, TimeUnit.MILLISECONDS);
        }).get();
        assertEquals(503, client.read().status());
        awaitReceived("a");
    }

    /**
     * All that ends a process is due in the turn in which the last clients connect and ask, as can be where
     * deadlines are short: those in the accept queue and the one on a kept connection get their answers.
     */
    @ParameterizedTest
    @CsvSource({"true, 3", "true, 0", "false, 3"})
    void requestsArrivingDuringShutdownAreAnswered(boolean keptSendsRequest, int newConnections)
            throws Exception {
        rig.replace("\"deadlineUs\":10000000", "\"deadlineUs\":300000");
        start();
        HttpTestConnection kept = connectAndCheckReady();
        rig.proxy().shutDown();
        rig.awaitLog("shutting down");
        List<HttpTestConnection> waitingClients = new ArrayList<>();
        rig.proxy().inLoop(() -> {
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
        assertTrue(rig.proxy().awaitEnd(HttpTestConnection.TIMEOUT_MS));
    }

    /** Killed before it is read, a new connection counts against the proxy; its bytes come in a moment. */
    @Test
    void newConnectionMaySendItsRequestDuringShutdown() throws Exception {
        rig.standStill().replace("\"deadlineUs\":10000000", "\"deadlineUs\":300000");
        start();
        rig.proxy().shutDown();
        rig.awaitLog("shutting down");
        HttpTestConnection newClient = rig.client();
        rig.awaitLog("the last connections are waited for");
        newClient.write(Rig.get("fresh", ""));
        assertEquals(503, newClient.read().status());
        rig.pass(1_000);
        assertTrue(rig.proxy().awaitEnd(HttpTestConnection.TIMEOUT_MS));
    }
}
