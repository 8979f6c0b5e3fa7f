package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.proxy.HttpTestConnection.Message;

/** The console for operators, over loopback sockets. */
@Timeout(60)
final class ConsoleTest {

    @TempDir
    Path folder;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder).console("127.0.0.1:0");
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    private Message callConsole(String methodAndPath) throws IOException {
        try (HttpTestConnection caller = HttpTestConnection.connect(rig.proxy().consoleAddress())) {
            caller.write(methodAndPath + " HTTP/1.1\r\nHost: c\r\n\r\n");
            Message response = caller.read();
            assertNull(caller.read(), "the connection is closed after one request");
            return response;
        }
    }

    private int consoleStatus(String methodAndPath) throws IOException {
        return callConsole(methodAndPath).status();
    }

    /** The value of a metric; bytes of the heap may be more than an int holds. */
    private static int toInt(String value) {
        return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(value));
    }

    private Map<String, Integer> counters() throws IOException {
        Map<String, Integer> metrics = new HashMap<>();
        callConsole("GET /control/counters").text().lines().map(line -> line.split("="))
                .forEach(nameAndValue -> metrics.put(nameAndValue[0].replace("edge_proxy.", ""),
                        toInt(nameAndValue[1])));
        return metrics;
    }

    /**
     * The metric names in the operators' documentation; a name that ends in {@code .C} stands for one name
     * for each request class of the test configuration.
     */
    private static List<String> documentedMetrics() throws IOException {
        return Files.readAllLines(Path.of("docs/figures.md")).stream().filter(line -> line.startsWith("| `"))
                .flatMap(line -> Pattern.compile("`([^`]+)`").matcher(line.split("\\|")[1]).results())
                .map(name -> name.group(1))
                .flatMap(name -> name.endsWith(".C") ? Stream.of("board", "buy", "move")
                        .map(requestClass -> name.replace(".C", "." + requestClass)) : Stream.of(name))
                .toList();
    }

    /** Waits until a metric has the value. */
    private void awaitMetric(String name, int value) throws Exception {
        long deadlineNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        while (counters().get(name) != value) {
            assertTrue(System.nanoTime() < deadlineNs, name + " in " + counters());
            Thread.sleep(5);
        }
    }

    /** Whether {@code /ready} on the address for clients says that the proxy accepts clients. */
    private boolean isReadyForClients() throws IOException {
        int status = rig.call("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n").status();
        assertTrue(status == 200 || status == 503, "ready: " + status);
        return status == 200;
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            200 | GET /control/ready
            200 | GET /control/counters
            200 | GET /control/counters?x=1
            200 | POST /control/backends/s/offline
            200 | POST /control/backends/%73/online
            200 | POST /control/out-of-service
            200 | POST /control/in-service
            404 | GET /
            404 | GET /ready
            404 | GET /control/
            404 | POST /control/nothing
            404 | POST /control/backends/s
            404 | POST /control/backends/s/asleep
            404 | POST /control/backends//offline
            404 | POST /control/backends/s/offline/now
            404 | POST /control/backends/t/offline
            404 | POST /control/backends/t/online
            404 | POST /control/backends/%74/online
            400 | POST /control/backends/%7/offline
            405 | POST /control/ready
            405 | POST /control/counters
            405 | GET /control/backends/s/offline
            405 | GET /control/out-of-service
            405 | DELETE /control/in-service
            """)
    void respondsWithStatusForMethodAndPath(int status, String call) throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        assertEquals(status, consoleStatus(call));
    }

    @Test
    void wrongMethodGetsAllowHeader() throws Exception {
        rig.start();
        assertEquals("GET", callConsole("POST /control/ready").header("Allow"));
        assertEquals("POST", callConsole("GET /control/in-service").header("Allow"));
    }

    @Test
    void malformedRequestGets400AndLargeBodyGets413() throws Exception {
        rig.start();
        try (HttpTestConnection caller = HttpTestConnection.connect(rig.proxy().consoleAddress())) {
            caller.write("rubbish\r\n\r\n");
            assertEquals(400, caller.read().status());
        }
        try (HttpTestConnection caller = HttpTestConnection.connect(rig.proxy().consoleAddress())) {
            caller.write("POST /control/in-service HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n");
            assertEquals(413, caller.read().status());
        }
    }

    /**
     * Guards against clients that open more connections than allowed and send nothing or half a request
     * head.
     */
    @Test
    void idleConnectionsDoNotBlockRequests() throws Exception {
        rig.start();
        List<HttpTestConnection> idleConnections = new ArrayList<>();
        try {
            for (int i = 0; i < Console.MAX_CONNECTIONS * 2; i++) {
                HttpTestConnection idleConnection = HttpTestConnection.connect(rig.proxy().consoleAddress());
                idleConnections.add(idleConnection);
                if (i % 2 == 0) {
                    try {
                        idleConnection.write("GET /control/re");
                    } catch (SocketException alreadyEvicted) {
                        // Expected once later connections have taken its place.
                    }
                }
                assertEquals(200, consoleStatus("GET /control/ready"));
            }
        } finally {
            for (HttpTestConnection idleConnection : idleConnections) {
                idleConnection.close();
            }
        }
    }

    @Test
    void incompleteRequestTimesOut() throws Exception {
        rig.start();
        try (HttpTestConnection caller = HttpTestConnection.connect(rig.proxy().consoleAddress())) {
            caller.write("GET /control/re");
            assertEquals(408, caller.read().status());
        }
    }

    @Test
    void countsRequestResultsAndTargets() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer backend = rig.backend((connection, request) -> {
            if (request.startLine().contains("/move")) {
                release.await();
            }
            connection.respond(request.startLine().contains("/move") ? "500 No" : "200 OK", "");
        });
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        assertEquals(new TreeSet<>(documentedMetrics()), new TreeSet<>(counters().keySet()));
        assertEquals(0, counters().get("error.move"));
        assertEquals(200, rig.call(Rig.get("a", "")).status());
        assertEquals(404, rig.call("GET /nothing HTTP/1.1\r\nHost: p\r\n\r\n").status());
        HttpTestConnection pending = rig.client();
        pending.write(Rig.post("/move", "b", ""));
        awaitMetric("dispatches", 2);
        assertEquals(1, counters().get("concurrent"));
        release.countDown();
        assertEquals(502, pending.read().status());
        Map<String, Integer> after = counters();
        assertEquals(1, after.get("success.board"));
        assertEquals(1, after.get("error.move"));
        assertEquals(0, after.get("overload.board"));
        assertEquals(0, after.get("concurrent"));
        assertEquals(1, after.get("targets"));
        assertEquals(0, after.get("targets_disabled"));
    }

    @Test
    void disconnectedClientIsNotCountedAsConcurrent() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpTestConnection client = rig.client();
        client.write(Rig.get("a", ""));
        backend.nextRequest();
        assertEquals(1, counters().get("concurrent"));
        client.close();
        awaitMetric("concurrent", 0);
    }

    /**
     * Guards against a backend that is enabled again without an operator because discovery deletes it and
     * then lists it again as a new one, at another address and with another start time.
     */
    @Test
    void disabledBackendGetsNoRequestsWhateverDiscoverySays() throws Exception {
        ScriptedServer backendA = ScriptedServer.respondingWith("a");
        ScriptedServer backendB = ScriptedServer.respondingWith("b");
        rig.start(Rig.entry("a", backendA.address(), "SERVING"),
                Rig.entry("b", backendB.address(), "SERVING"));
        assertEquals(200, consoleStatus("POST /control/backends/a/offline"));
        assertEquals(200, consoleStatus("POST /control/backends/a/offline"));
        assertEquals(1, counters().get("targets_disabled"));
        ScriptedServer moved = ScriptedServer.respondingWith("moved");
        rig.discoveryLines.add(Rig.list(9, false, Rig.entry("a", backendA.address(), "DELETED")));
        rig.discoveryLines.add(Rig.list(10, true, Rig.entry("a", moved.address(), "SERVING"),
                Rig.entry("b", backendB.address(), "SERVING"),
                Rig.entry("c", backendB.address(), "DRAINING")));
        awaitMetric("targets", 3);
        for (int i = 0; i < 10; i++) {
            assertEquals("b", rig.call(Rig.get("r" + i, "")).text());
        }
        assertEquals(0, backendA.receivedRequests.size() + moved.receivedRequests.size());
        assertEquals(200, consoleStatus("POST /control/backends/a/online"));
        awaitServedBy("moved");
    }

    private void awaitServedBy(String text) throws Exception {
        long deadlineNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        for (int i = 0; !rig.call(Rig.get(text + i, "")).text().equals(text); i++) {
            assertTrue(System.nanoTime() < deadlineNs, "no request was answered with " + text);
        }
    }

    @Test
    void drainClosesConnectionsAndLosesNoRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer backend = rig.backend((connection, request) -> {
            if (request.header("X-Request-Id").equals("held")) {
                release.await();
            }
            connection.respond("200 OK", "ok");
        });
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpTestConnection pending = rig.client();
        pending.write(Rig.get("held", ""));
        backend.nextRequest();
        HttpTestConnection kept = rig.client();
        kept.write(Rig.get("kept", ""));
        assertNull(kept.read().header("Connection"));
        HttpTestConnection unused = rig.client();
        assertEquals(200, consoleStatus("POST /control/out-of-service"));
        assertFalse(isReadyForClients());
        assertEquals(200, consoleStatus("POST /control/out-of-service"));
        assertEquals(200, consoleStatus("GET /control/ready"), "out of service, but able to serve");
        assertNull(kept.read(), "an idle connection is closed");
        assertNull(unused.read(), "a connection without any request is closed");
        HttpTestConnection late = rig.client();
        late.write(Rig.get("late", ""));
        assertEquals("close", late.read().header("Connection"), "a request on a new connection is served");
        release.countDown();
        Message last = pending.read();
        assertEquals(200, last.status());
        assertEquals("close", last.header("Connection"));
        assertEquals(200, consoleStatus("POST /control/in-service"));
        assertTrue(isReadyForClients());
        assertNull(rig.call(Rig.get("again", "")).header("Connection"));
    }

    /**
     * Guards against a drain that takes a connection for idle after part of a request has arrived. This part
     * ends at the end of a line, so the decoder buffers none of its bytes.
     */
    @Test
    void drainWaitsForPartlyReceivedRequest() throws Exception {
        ScriptedServer backend = ScriptedServer.respondingWith("ok");
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpTestConnection kept = rig.client();
        kept.write(Rig.get("a", ""));
        assertEquals("ok", kept.read().text());
        HttpTestConnection idle = rig.client();
        idle.write(Rig.get("b", ""));
        assertEquals("ok", idle.read().text());
        assertEquals(200, consoleStatus("POST /control/out-of-service"));
        String request = Rig.get("slow", "");
        int firstLineLength = request.indexOf("\r\n") + 2;
        kept.write(request.substring(0, firstLineLength));
        assertNull(idle.read(), "the idle connection is closed");
        kept.write(request.substring(firstLineLength));
        assertEquals("ok", kept.read().text());
    }

    @Test
    void cancelledDrainClosesNothing() throws Exception {
        ScriptedServer backend = ScriptedServer.respondingWith("ok");
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpTestConnection kept = rig.client();
        assertEquals(200, consoleStatus("POST /control/out-of-service"));
        assertEquals(200, consoleStatus("POST /control/in-service"));
        assertEquals(200, consoleStatus("POST /control/in-service"));
        kept.write(Rig.get("a", ""));
        assertNull(kept.read().header("Connection"));
        assertTrue(isReadyForClients());
    }

    @Test
    void drainedProxyShutsDownAndCannotReturnToService() throws Exception {
        rig.start();
        assertEquals(200, consoleStatus("POST /control/out-of-service"));
        rig.proxy().shutDown();
        assertEquals(503, consoleStatus("POST /control/in-service"));
        assertEquals(503, consoleStatus("GET /control/ready"));
        assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
    }

    @Test
    void unusableConsoleAddressFailsTheStart() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + taken.getLocalPort();
            Map<String, String> env = new HashMap<>(rig.environment());
            env.put("PROXY_CONSOLE", address);
            ProxyConfig config = ProxyConfig.read(env);
            ProxyConfig.InvalidConfigException failure = assertThrows(
                    ProxyConfig.InvalidConfigException.class, () -> ProxyServer.start(
                            config, new EventLog(System.err), passhatch.LeastLoadedBalancer::new));
            assertTrue(failure.getMessage().startsWith("PROXY_CONSOLE: "), failure.getMessage());
            env.put("PROXY_CONSOLE", "nowhere");
            assertThrows(ProxyConfig.InvalidConfigException.class, () -> ProxyConfig.read(env));
        }
    }
}
