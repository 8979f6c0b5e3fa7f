package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Graceful shutdown of a proxy that still has connections and requests. */
@Timeout(60)
final class GracefulShutdownTest {

    @TempDir
    Path folder;

    /** With any deadline, connections are closed and requests are answered before SIGKILL can come. */
    @ParameterizedTest
    @ValueSource(longs = {200, 400, 800, 1_500, 2_000, 3_000, 10_000})
    void scheduleEndsBeforeSigkill(long longestDeadlineMs) {
        long killMs = Math.min(longestDeadlineMs, 3_000) + 700;
        for (boolean hasSuccessor : new boolean[] {false, true}) {
            ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMs, hasSuccessor);
            assertTrue(schedule.stopListeningAfterMs() <= schedule.closeConnectionsAfterMs(),
                    schedule.toString());
            assertTrue(schedule.closeConnectionsAfterMs() < schedule.respondToAllAfterMs(),
                    schedule.toString());
            assertTrue(schedule.respondToAllAfterMs() <= killMs - 300, schedule.toString());
            assertTrue(hasSuccessor || schedule.stopListeningAfterMs() > 400,
                    "new connections arrive for up to 400 ms");
        }
    }

    /**
     * Guards against resetting connections that the proxy has not accepted when it stops listening. The
     * event loop is blocked while the clients connect and send requests, and then stops listening before it
     * accepts them.
     */
    @Test
    void connectionsInTheAcceptQueueAreServed() throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            List<HttpTestConnection> clients = new ArrayList<>();
            rig.proxy().submitToLoop(() -> {
                for (int i = 0; i < 20; i++) {
                    HttpTestConnection client = rig.client();
                    client.write(Rig.get("r" + i, ""));
                    clients.add(client);
                }
                rig.proxy().stopListening();
                return null;
            }).get();
            for (HttpTestConnection client : clients) {
                assertEquals(200, client.read().status());
            }
        }
    }

    /**
     * While idle connections are closed, a request of which only a part has arrived still gets its response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: h"})
    void partlyReceivedRequestIsWaitedFor(String firstPart) throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            String request = "GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: half\r\n\r\n";
            HttpTestConnection partial = rig.client();
            HttpTestConnection idle = rig.client();
            for (HttpTestConnection client : List.of(partial, idle)) {
                client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
                assertEquals(200, client.read().status());
            }
            rig.proxy().shutDown();
            rig.awaitLog("shutting down");
            partial.write(firstPart);
            assertNull(idle.read(), "the idle connection is closed");
            partial.write(request.substring(firstPart.length()));
            HttpTestConnection.Message response = partial.read();
            assertEquals(200, response.status());
            assertEquals("close", response.header("Connection"));
            assertNull(partial.read());
            assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
        }
    }

    /**
     * A response that has begun and then stalls, or continues very slowly, must be aborted before SIGKILL so
     * that its client notices.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stalledResponseIsAborted(boolean sendsSlowly) throws Exception {
        CountDownLatch finished = new CountDownLatch(1);
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
                while (!finished.await(20, TimeUnit.MILLISECONDS)) {
                    connection.write(sendsSlowly ? "1\r\nx\r\n" : "");
                }
            });
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            HttpTestConnection client = rig.client();
            client.write(Rig.get("r", ""));
            assertEquals("HTTP/1.1 200 OK", client.readLine(), "the response is streamed");
            rig.proxy().shutDown();
            // The request's deadline of 10 s would end the response too; SIGKILL comes after 3.7 s.
            long latestEndNs = System.nanoTime() + 9_000_000_000L;
            String rest = new String(client.input().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(System.nanoTime() < latestEndNs);
            assertTrue(rest.endsWith("1\r\nx\r\n"), rest);
            assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
        } finally {
            finished.countDown();
        }
    }

    /**
     * A second SIGTERM does not affect the shutdown: requests are still served. Neither does taking the
     * proxy out of service first affect it.
     */
    @Test
    void aSecondSigtermChangesNothing() throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            HttpTestConnection client = rig.client();
            client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(200, client.read().status());
            rig.proxy().shutDown();
            rig.proxy().shutDown();
            client.write(Rig.get("r", ""));
            assertEquals(200, client.read().status());
            assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
        }
    }
}
