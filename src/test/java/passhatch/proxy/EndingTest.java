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

/** What is still owed when a process ends. */
@Timeout(60)
final class EndingTest {

    @TempDir
    Path folder;

    /** Whatever the deadlines: clients are sent away, and all is answered, before SIGKILL may come. */
    @ParameterizedTest
    @ValueSource(longs = {200, 400, 800, 1_500, 2_000, 3_000, 10_000})
    void allIsOverBeforeTheKill(long longestDeadlineMs) {
        long killMs = Math.min(longestDeadlineMs, 3_000) + 700;
        for (boolean succeeded : new boolean[] {false, true}) {
            Ending ending = Ending.of(longestDeadlineMs, succeeded);
            assertTrue(ending.acceptUntilMs() <= ending.takeUntilMs(), ending.toString());
            assertTrue(ending.takeUntilMs() < ending.answerAtMs(), ending.toString());
            assertTrue(ending.answerAtMs() <= killMs - 300, ending.toString());
            assertTrue(succeeded || ending.acceptUntilMs() > 400, "new connections come until then");
        }
    }

    /** The loop stands still while they connect and ask, and then stops listening before it accepts them. */
    @Test
    void whatStandsInTheAcceptQueueIsServed() throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            List<HttpTestConnection> clients = new ArrayList<>();
            rig.proxy().inLoop(() -> {
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

    /** Idle connections are closed and nothing else is open; what is half in still gets its answer. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: h"})
    void aRequestThatIsHalfInIsWaitedFor(String begun) throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            String request = "GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: half\r\n\r\n";
            HttpTestConnection half = rig.client();
            HttpTestConnection idle = rig.client();
            for (HttpTestConnection kept : List.of(half, idle)) {
                kept.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
                assertEquals(200, kept.read().status());
            }
            rig.proxy().shutDown();
            rig.awaitLog("shutting down");
            half.write(begun);
            assertNull(idle.read(), "idle ones are closed");
            half.write(request.substring(begun.length()));
            HttpTestConnection.Message answer = half.read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertNull(half.read());
            assertTrue(rig.proxy().awaitEnd(HttpTestConnection.TIMEOUT_MS));
        }
    }

    /** Its answer has begun and hangs, or drips on; by the kill its client has to know of it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAnswerThatHangsIsBrokenOff(boolean drips) throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
                while (!over.await(20, TimeUnit.MILLISECONDS)) {
                    connection.write(drips ? "1\r\nx\r\n" : "");
                }
            });
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            HttpTestConnection client = rig.client();
            client.write(Rig.get("r", ""));
            assertEquals("HTTP/1.1 200 OK", client.readLine(), "it is passed on");
            rig.proxy().shutDown();
            // The deadline of 10 s would end it too, and the kill comes at 3.7 s.
            long lateNs = System.nanoTime() + 9_000_000_000L;
            String rest = new String(client.input().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(System.nanoTime() < lateNs);
            assertTrue(rest.endsWith("1\r\nx\r\n"), rest);
            assertTrue(rig.proxy().awaitEnd(HttpTestConnection.TIMEOUT_MS));
        } finally {
            over.countDown();
        }
    }

    /** It changes nothing, and neither does one that comes while staff have drained the proxy. */
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
            assertTrue(rig.proxy().awaitEnd(HttpTestConnection.TIMEOUT_MS));
        }
    }
}
