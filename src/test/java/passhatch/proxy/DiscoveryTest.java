package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the forms in which discovery may send lists, and of the ways in which its calls may fail. */
@Timeout(60)
final class DiscoveryTest {

    @TempDir
    Path folder;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    private ScriptedServer backendRespondingWith(String text) throws IOException {
        return rig.backend((connection, request) -> connection.respond("200 OK", text));
    }

    private static String servingEntry(String name, ScriptedServer backend) {
        return Rig.entry(name, backend.address(), "SERVING");
    }

    /** The same JSON, spread over indented lines. */
    private static String indented(String list) {
        return list.replace("{", "{\n  ").replace(",", ",\n    ").replace("}", "\n}").replace("[", "[\n\t")
                .replace("]", "\r\n  ]");
    }

    @Test
    void indentedListsAreParsed() throws Exception {
        ScriptedServer backend = backendRespondingWith("a");
        rig.start(indented(servingEntry("s", backend)).strip());
        assertEquals("a", rig.call(Rig.get("r", "")).text());
        rig.discoveryLines.add(indented(Rig.list(9, false, Rig.entry("s", backend.address(), "DELETED"),
                servingEntry("t", backendRespondingWith("b")))));
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=9"),
                "the watch resumes after the indented list");
        assertEquals("b", rig.call(Rig.get("q", "")).text());
    }

    @Test
    void indentedFullListIsParsed() throws Exception {
        rig.start(servingEntry("s", backendRespondingWith("a")));
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        rig.discoveryLines.add(Rig.EXPIRED_VERSION);
        rig.discoveryLines.add(indented(Rig.list(40, true, servingEntry("t", backendRespondingWith("b")))));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=8"));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().nextRequest().startLine());
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=40"));
        assertEquals("b", rig.call(Rig.get("q", "")).text());
    }

    /** Brackets, quotes and escapes in strings are not structure, and a read may end within a character. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7})
    void listSplitIntoChunksOfAnySizeIsParsed(int chunkBytes) throws Exception {
        ScriptedServer backend = backendRespondingWith("a");
        String endpoint = servingEntry("s", backend)
                .replace("\"zone\":\"a\"", "\"zone\":\"}\\\"]\u00e9\u20ac\\\\\"");
        byte[] bytes = (Rig.list(8, true, endpoint) + "\n").getBytes(StandardCharsets.UTF_8);
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int offset = 0; offset < bytes.length; offset += chunkBytes) {
                int length = Math.min(chunkBytes, bytes.length - offset);
                connection.write(Integer.toHexString(length) + "\r\n");
                connection.socket.getOutputStream().write(bytes, offset, length);
                connection.write("\r\n");
            }
        })) {
            rig.startWithDiscovery(discovery.address());
            assertEquals("a", rig.call(Rig.get("r", "")).text());
        }
    }

    /**
     * A later start time means that the backend process was replaced. Connections to the old process are of
     * no use: the first request on one would fail.
     */
    @Test
    void restartedBackendGetsNewConnections() throws Exception {
        ScriptedServer backend = backendRespondingWith("a");
        rig.start(servingEntry("s", backend));
        assertEquals("a", rig.call(Rig.get("r", "")).text());
        rig.discoveryLines.add(Rig.list(9, false, servingEntry("s", backend).replace("\"since_ms\":0",
                "\"since_ms\":1600000000000")));
        backend.awaitClosedConnection();
        assertEquals("a", rig.call(Rig.get("q", "")).text());
        assertEquals(2, backend.connectionCount.get());
    }

    /**
     * Ways in which a watch fails or stalls before it has sent a list: no response, no or half a list, a
     * reset, an end, an error status. Each time the watch must be opened again, and the known list stays in
     * use meanwhile.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"index\":\r\n", "lines", "reset", "end",
        "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"})
    void failedOrStalledWatchIsReopened(String firstResponse) throws Exception {
        ScriptedServer backend = backendRespondingWith("a");
        AtomicInteger callCount = new AtomicInteger();
        CountDownLatch testFinished = new CountDownLatch(1);
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            if (callCount.getAndIncrement() > 0) {
                String list = Rig.list(8, true, servingEntry("s", backend)) + "\n";
                connection.write(head + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            } else if (firstResponse.equals("reset")) {
                connection.reset();
            } else if (firstResponse.equals("end")) {
                connection.write(head + "0\r\n\r\n");
            } else if (firstResponse.equals("lines")) {
                connection.write(head + "9\r\n{\"index\":\r\n");
                while (!testFinished.await(500, TimeUnit.MILLISECONDS)) {
                    connection.write("1\r\n\n\r\n");
                }
            } else {
                connection.write(firstResponse);
            }
        })) {
            rig.startWithDiscovery(discovery.address());
            assertEquals(2, callCount.get());
            assertEquals("a", rig.call(Rig.get("r", "")).text());
        } finally {
            testFinished.countDown();
        }
    }

    /**
     * A watch sends a list and then nothing, not even empty lines. The proxy is expected to know a change
     * that it misses 6 s after the watch fell silent, and must act on it at most 2.5 s later. By then a
     * second watch may have gone unanswered, too.
     */
    @Test
    void watchSilentAfterItsFirstListIsReopenedSooner() throws Exception {
        long maxDelayMs = 750;
        assertTrue(Discovery.WATCH_IDLE_TIMEOUT_MS + maxDelayMs + Discovery.RESPONSE_TIMEOUT_MS < 8_500);
        assertTrue(Discovery.WATCH_IDLE_TIMEOUT_MS >= 2_900, "an empty line, due every 2 s, may be late");
        ScriptedServer backend = backendRespondingWith("a");
        BlockingQueue<Long> callTimesNs = new LinkedBlockingQueue<>();
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            String list = Rig.list(8, true, servingEntry("s", backend)) + "\n";
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            callTimesNs.add(System.nanoTime());
        })) {
            rig.startWithDiscovery(discovery.address());
            long silentFromNs = callTimesNs.take();
            assertTrue(callTimesNs.take() - silentFromNs < 4_400_000_000L);
        }
    }

    /**
     * A full list leaves out backends that are draining. Such a backend must get no new requests, may finish
     * those in flight, and is used again once a list names it.
     */
    @Test
    void backendMissingFromAFullListGetsNothingNew() throws Exception {
        CountDownLatch allowResponse = new CountDownLatch(1);
        ScriptedServer removed = rig.backend((connection, request) -> {
            allowResponse.await();
            connection.respond("200 OK", "a");
        });
        ScriptedServer added = backendRespondingWith("b");
        rig.start(servingEntry("s", removed));
        HttpTestConnection inFlight = rig.client();
        inFlight.write(Rig.post("/move", "open", ""));
        removed.nextRequest();
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        rig.discoveryLines.add(Rig.list(9, true, servingEntry("t", added)));
        for (int i = 0; added.receivedRequests.isEmpty(); i++) {
            rig.call(Rig.post("/move", "m" + i, "X-Deadline: 100m\r\n"));
        }
        int receivedBefore = removed.receivedRequests.size();
        assertEquals("b", rig.call(Rig.post("/move", "next", "")).text());
        allowResponse.countDown();
        assertEquals("a", inFlight.read().text());
        assertEquals(receivedBefore, removed.receivedRequests.size());
        rig.discoveryLines.add(Rig.list(10, false, servingEntry("s", removed),
                Rig.entry("t", added.address(), "DELETED")));
        for (String text = "b"; !text.equals("a");) {
            text = rig.call(Rig.post("/move", "back" + System.nanoTime(), "")).text();
        }
    }

    /**
     * The module decides when to call discovery. It requests two watches at once for each list, and none
     * after a failure, as if its backoff delay had grown in a long outage. Only one call may be open at a
     * time, and each failed call must still be followed by another within a few seconds.
     */
    @Test
    void failedCallIsRetriedInTimeWithoutTheModule() throws Exception {
        rig.replaceInConfig("\"pushed\"", "\"on_request\"")
                .replaceInConfig("\"drainGraceUs\"", "\"askEveryUs\":10000000,\"drainGraceUs\"")
                .module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
                    if (args[args.length - 1] instanceof List<?>) {
                        actions.watchServers();
                        actions.watchServers();
                    }
                }));
        ScriptedServer backend = backendRespondingWith("a");
        AtomicInteger callCount = new AtomicInteger();
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            if (callCount.incrementAndGet() <= 3) {
                connection.respond("503 Down", "");
            } else {
                String list = Rig.list(8, true, servingEntry("s", backend)) + "\n";
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            }
        })) {
            rig.startWithDiscovery(discovery.address());
            assertEquals(4, callCount.get());
            assertEquals(4, discovery.connectionCount.get(), "only one call may be open at a time");
        }
    }

    /** Fetching the full list first would double the calls that a fleet makes to discovery when it starts. */
    @Test
    void cachedListOfVersionZeroIsWatchedFromThere() throws Exception {
        ScriptedServer backend = backendRespondingWith("a");
        rig.replaceInConfig("\"index\":7", "\"index\":0")
                .replaceInConfig("\"endpoints\":[]", "\"endpoints\":[" + servingEntry("s", backend) + "]");
        rig.discoveryLines.add(Rig.list(0, false));
        rig.startWithoutList(rig.discovery().address());
        assertTrue(rig.discovery().nextRequest().startLine().contains("watch=1&from=0"));
        Rig.awaitReady(rig.proxy().address());
        assertEquals("a", rig.call(Rig.get("r", "")).text());
    }

    /**
     * Each refused call is followed by one other, with a growing delay. If the timer of an earlier call were
     * left running, both would make calls, and a fleet would keep discovery in the overload that makes it
     * refuse calls.
     */
    @Test
    void refusedCallsBackOff() throws Exception {
        int count = 9;
        rig.replaceInConfig("\"pushed\"", "\"on_request\"")
                .replaceInConfig("\"drainGraceUs\"", "\"askEveryUs\":10000000,\"drainGraceUs\"");
        BlockingQueue<Long> callTimesNs = new LinkedBlockingQueue<>();
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            callTimesNs.add(System.nanoTime());
            connection.respond("503 Crowded", "");
        })) {
            rig.startWithoutList(discovery.address());
            long firstNs = callTimesNs.take();
            long lastNs = firstNs;
            for (int i = 1; i < count; i++) {
                lastNs = callTimesNs.take();
            }
            assertTrue(lastNs - firstNs > 5_000_000_000L,
                    count + " calls came within " + (lastNs - firstNs) + " ns");
        }
    }

    /**
     * The proxy is expected to know a list from the time discovery writes it, so a watch that stalls within a
     * list cannot wait for the 4.5 s that an unanswered call is given.
     */
    @Test
    void watchStalledWithinAListIsReopenedAtOnce() throws Exception {
        BlockingQueue<Long> callTimesNs = new LinkedBlockingQueue<>();
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"index\":\r\n");
            callTimesNs.add(System.nanoTime());
        })) {
            rig.startWithoutList(discovery.address());
            long firstNs = callTimesNs.take();
            assertTrue(callTimesNs.take() - firstNs < 4_400_000_000L);
        }
    }

    /** A full list is received in a response that does not end. The watch must not wait for that end. */
    @Test
    void watchStartsBeforeTheEndOfTheFullListResponse() throws Exception {
        ScriptedServer backend = backendRespondingWith("a");
        BlockingQueue<Long> callTimesNs = new LinkedBlockingQueue<>();
        try (ScriptedServer discovery = new ScriptedServer((connection, request) -> {
            callTimesNs.add(System.nanoTime());
            if (request.startLine().contains("from=7")) {
                connection.respond("410 Gone", "");
            } else {
                String list = Rig.list(8, true, servingEntry("s", backend));
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            }
        })) {
            rig.startWithoutList(discovery.address());
            callTimesNs.take();
            long fetchedNs = callTimesNs.take();
            assertTrue(callTimesNs.take() - fetchedNs < 4_400_000_000L);
        }
    }
}
