package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.proxy.HttpTestConnection.Message;

/** Tests clients that send malformed, oversized or slow requests, too many requests, or nothing. */
@Timeout(60)
final class BadClientsTest {

    private static final String SMUGGLED_REQUEST =
            "GET /board HTTP/1.1\r\nHost: p\r\nX-Request-Id: hidden\r\n\r\n";

    @TempDir
    Path folder;
    private Rig rig;
    private ScriptedServer backend;
    private final CountDownLatch heldResponseReleased = new CountDownLatch(1);

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
        backend = rig.backend((connection, request) -> {
            if (request.header("X-Request-Id").equals("held")) {
                heldResponseReleased.await();
            }
            connection.respond("200 OK", request.header("X-Request-Id"));
        });
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    private void start() throws Exception {
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
    }

    /** Waits until the proxy closes the connection, ignoring responses before that. */
    private static void awaitEnd(HttpTestConnection client) throws IOException {
        Message message;
        do {
            message = client.read();
        } while (message != null);
    }

    /** The end of such a request is ambiguous: a backend might find another request in its body. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 0\r\nTransfer-Encoding: chunked",
        "Content-Length: 0\r\nContent-Length: 5", "Content-Length: -1", "Content-Length: +0",
        "Content-Length: 0x0", "Content-Length: 99999999999999999999", "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, gzip", "Content-Length : 0", "no colon here"})
    void ambiguousFramingIsRejectedAndConnectionClosed(String headers) throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: outer\r\n" + headers
                + "\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST);
        assertEquals(400, client.read().status());
        assertNull(client.read());
        assertEquals("seen", rig.call(Rig.get("seen", "")).text());
        assertEquals("seen", backend.nextRequest().header("X-Request-Id"));
        assertTrue(backend.receivedRequests.isEmpty());
    }

    // Guards against heads of very many short fields, which took heap and processor time without a bound.
    @Test
    void aHeadOfTooManyFieldsIsRejectedBeforeItIsWhole() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write("GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: many\r\n" + "a:b\r\n".repeat(200));
        assertEquals(431, client.read().status());
        assertNull(client.read());
    }

    /** Fields that the proxy does not use are not kept, but a malformed one still makes a head malformed. */
    @ParameterizedTest
    @ValueSource(strings = {"bad name: x", "Unused: \u0001", "(x): y"})
    void aMalformedFieldThatIsNotUsedIsRejected(String field) throws Exception {
        start();
        assertEquals(400, rig.call(Rig.get("malformed", field + "\r\n")).status());
        assertEquals(200, rig.call(Rig.get("sound", "Unused: x\r\n")).status());
    }

    /** HTTP/1.0 has no transfer codings: a backend might take the chunks for another request. */
    @Test
    void chunkedBodyOverHttp10IsRejected() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write("POST /move HTTP/1.0\r\nX-Request-Id: outer\r\nTransfer-Encoding: chunked"
                + "\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST);
        assertEquals(400, client.read().status());
        assertNull(client.read());
        assertTrue(backend.receivedRequests.isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Expect: 100-continue\r\n"})
    void oversizedBodyIsRejectedUnread(String expect) throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: big\r\n" + expect
                + "Content-Length: 60000000\r\n\r\n" + SMUGGLED_REQUEST);
        assertEquals(413, client.read().status());
        assertNull(client.read());
        assertTrue(backend.receivedRequests.isEmpty());
    }

    @Test
    void expectContinueIsAnswered() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: polite\r\nExpect: 100-continue\r\n"
                + "Content-Length: 2\r\n\r\n");
        assertEquals(100, client.read().status());
        client.write("ab");
        assertEquals("polite", client.read().text());
        assertEquals("ab", backend.nextRequest().text());
    }

    /** A request before a malformed one is answered first, with its own response. */
    @Test
    void requestsBeforeMalformedOneAreAnsweredFirst() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("held", "") + "nonsense\r\n\r\n");
        backend.nextRequest();
        heldResponseReleased.countDown();
        assertEquals("held", client.read().text());
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @Test
    void silentConnectionIsClosed() throws Exception {
        start();
        awaitEnd(rig.client());
    }

    /** The time for a request counts from its start, however often a few bytes arrive. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /board HTTP/1.1\r\n",
        "POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: t\r\nContent-Length: 60000\r\n\r\n", "\r\n"})
    void tricklingRequestIsClosed(String start) throws Exception {
        start();
        for (boolean reusesConnection : new boolean[] {false, true}) {
            HttpTestConnection client = rig.client();
            if (reusesConnection) {
                client.write(Rig.get("first", ""));
                assertEquals("first", client.read().text());
            }
            client.write(start.equals("\r\n") && reusesConnection ? "GET" : start);
            CountDownLatch connectionEnded = new CountDownLatch(1);
            ScriptedServer.startDaemonThread(() -> {
                try {
                    while (connectionEnded.getCount() > 0) {
                        client.write("\r\n".equals(start) ? "\r\n" : "x");
                        Thread.sleep(50);
                    }
                } catch (IOException | InterruptedException connectionClosed) {
                    // The proxy has closed the connection.
                }
            });
            try {
                awaitEnd(client);
            } catch (java.net.SocketException reset) {
                // The connection can also end with a reset, as the client sent more than was read.
            }
            connectionEnded.countDown();
        }
    }

    @Test
    void hundredsOfPipelinedRequestsAreAnsweredInOrder() throws Exception {
        start();
        HttpTestConnection client = rig.client();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            requests.append(i % 2 == 0 ? Rig.get("p" + i, "") : Rig.get("p" + i, "X-Deadline: soon\r\n"));
        }
        client.write(requests.toString());
        for (int i = 0; i < 400; i++) {
            Message response = client.read();
            assertEquals(i % 2 == 0 ? 200 : 400, response.status());
            assertEquals(i % 2 == 0 ? "p" + i : "", response.text());
        }
    }

    /** Connections without a request are evicted; one with an open request is not. */
    @Test
    void silentConnectionsAreEvictedForNewClients() throws Exception {
        rig.maxSockets(64);
        start();
        HttpTestConnection held = rig.client();
        held.write(Rig.get("held", ""));
        backend.nextRequest();
        for (int i = 0; i < 60; i++) {
            rig.client();
        }
        assertEquals("next", rig.call(Rig.get("next", "")).text());
        heldResponseReleased.countDown();
        assertEquals("held", held.read().text());
    }

    /** If kept alive, the connections would use up the maximum, and new clients could not connect. */
    @Test
    void keepAliveEndsWhenManyClientsAreConnected() throws Exception {
        rig.maxSockets(80);
        start();
        int closedConnections = 0;
        for (int i = 0; i < 60; i++) {
            HttpTestConnection client = rig.client();
            client.write(Rig.get("r" + i, ""));
            Message response = client.read();
            assertEquals("r" + i, response.text());
            boolean closes = "close".equals(response.header("Connection"));
            closedConnections += closes ? 1 : 0;
            assertTrue(i >= 10 || !closes, "with few connections open, they are kept alive");
        }
        assertTrue(closedConnections > 40,
                closedConnections + " of 60 connections were closed after the response");
    }

    @Test
    void bodiesBeyondTheMemoryBudgetAreRefused() {
        MemoryBudget budget = new MemoryBudget(100);
        assertTrue(budget.reserve(60));
        assertFalse(budget.reserve(60));
        budget.release(60);
        assertTrue(budget.reserve(100));
    }
}
