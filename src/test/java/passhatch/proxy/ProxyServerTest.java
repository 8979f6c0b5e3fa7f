package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.Balancer;
import passhatch.Balancer.Outcome;
import passhatch.proxy.HttpTestConnection.Message;

/** Tests the complete proxy over loopback sockets, with scripted clients, backends and discovery. */
@Timeout(60)
final class ProxyServerTest {

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

    private static String up(String name, ScriptedServer backend) {
        return Rig.entry(name, backend.address(), "SERVING");
    }

    @Test
    void forwardsRequestAndBodyUnchanged() throws Exception {
        byte[] body = new byte[60_000];
        new Random(5).nextBytes(body);
        ScriptedServer backend = rig.backend((connection, request) -> {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + request.body().length + "\r\n\r\n");
            connection.write(request.body());
        });
        rig.start(up("s", backend));
        HttpTestConnection client = rig.client();
        client.write("POST /buy/3?q=%20a HTTP/1.1\r\nHost: p\r\nX-Request-Id: r1\r\nIdempotency-Key: k9\r\n"
                + "X-Tenant: acme\r\nX-Deadline: 8000m\r\nContent-Length: " + body.length + "\r\n\r\n");
        client.write(body);
        Message response = client.read();
        assertEquals(200, response.status());
        assertArrayEquals(body, response.body());
        Message sent = backend.nextRequest();
        assertEquals("POST /buy/3?q=%20a HTTP/1.1", sent.startLine());
        assertArrayEquals(body, sent.body());
        assertEquals("r1", sent.header("X-Request-Id"));
        assertEquals("k9", sent.header("Idempotency-Key"));
        long deadlineUs = Long.parseLong(sent.header("X-Deadline").replace("u", ""));
        assertTrue(deadlineUs > 0 && deadlineUs < 8_000_000, sent.header("X-Deadline"));
    }

    @Test
    void isReadyOnlyAfterTheListHasArrived() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        ProxyServer proxy = ProxyServer.start(ProxyConfig.read(rig.environment()), new EventLog(System.err),
                passhatch.LeastLoadedBalancer::new);
        try (HttpTestConnection client = HttpTestConnection.connect(proxy.address())) {
            client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(503, client.read().status());
            rig.discoveryLines.add(Rig.list(8, true, up("s", backend)));
            Rig.awaitReady(proxy.address());
        } finally {
            proxy.terminateNow();
        }
    }

    /** If nothing has changed since the cached list, discovery starts a watch with an empty line. */
    @Test
    void isReadyIfTheCachedListIsCurrent() throws Exception {
        rig.discoveryLines.add("");
        ProxyServer proxy = ProxyServer.start(ProxyConfig.read(rig.environment()), new EventLog(System.err),
                passhatch.LeastLoadedBalancer::new);
        try {
            Rig.awaitReady(proxy.address());
        } finally {
            proxy.terminateNow();
        }
    }

    /**
     * Discovery is down or never responds, and the configuration contains the cached list. If the proxy asks
     * discovery for changes, it serves with that list after 4 s; if discovery pushes lists, it waits.
     */
    @ParameterizedTest
    @CsvSource({"on_request, false, 200", "on_request, true, 200", "pushed, false, 503", "pushed, true, 503"})
    void servesTheCachedListOnlyIfDiscoveryIsPolled(String discoveryMode, boolean silent, int status)
            throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.freezeClock().replaceInConfig("\"pushed\"", "\"" + discoveryMode + "\"")
                .replaceInConfig("\"drainGraceUs\"", "\"askEveryUs\":10000000,\"drainGraceUs\"")
                .replaceInConfig("\"endpoints\":[]", "\"endpoints\":[" + up("s", backend) + "]");
        ScriptedServer discovery = rig.backend(ScriptedServer.NO_RESPONSE);
        if (!silent) {
            discovery.close();
        }
        rig.startWithoutList(discovery.address());
        String readyRequest = "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n";
        rig.advanceClock(3_900);
        assertEquals(503, rig.call(readyRequest).status());
        rig.advanceClock(200);
        assertEquals(status, rig.call(readyRequest).status());
        if (status == 200) {
            assertEquals("x", rig.call(Rig.get("r", "")).text());
        }
    }

    /** After a malformed head it is not known where the next request starts. */
    @Test
    void answersBytesThatAreNotHttpWith400AndCloses() throws Exception {
        rig.start();
        HttpTestConnection client = rig.client();
        client.write("GET /board HTTP/9.x\r\nbad\r\n\r\n");
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            404 | GET /nothing HTTP/1.1           | X-Deadline: 800m
            404 | GET / HTTP/1.1                  | X-Deadline: 800m
            400 | POST /board HTTP/1.1            | X-Deadline: 800m
            400 | POST /buy HTTP/1.1              | X-Deadline: 800m
            400 | GET /board HTTP/1.1             | X-Deadline: soon
            400 | GET /board HTTP/1.1             | X-Deadline: 800
            400 | GET /board HTTP/1.1             | X-Deadline: -5m
            400 | GET /board HTTP/1.1             | X-Tenant: nobody
            413 | POST /move HTTP/1.1             | Content-Length: 33554433
            """)
    void rejectsInvalidRequestsWithoutForwardingThem(int status, String start, String header)
            throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", ""));
        rig.start(up("s", backend));
        assertEquals(status, rig.call(start + "\r\nHost: p\r\nX-Request-Id: bad\r\n" + header + "\r\n\r\n")
                .status());
        assertEquals(200, rig.call(Rig.get("good", "")).status());
        assertEquals("good", backend.nextRequest().header("X-Request-Id"));
        assertTrue(backend.receivedRequests.isEmpty());
    }

    @Test
    void rejectsARequestIdThatIsInUse() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(up("s", backend));
        rig.client().write(Rig.get("same", ""));
        backend.nextRequest();
        assertEquals(400, rig.call(Rig.get("same", "")).status());
        assertTrue(backend.receivedRequests.isEmpty());
    }

    /** A client that reuses the id of an open request and disconnects must not cancel that request. */
    @Test
    void aRejectedDuplicateIdDoesNotAffectTheOriginalRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer backend = rig.backend((connection, request) -> {
            release.await();
            connection.respond("200 OK", "mine");
        });
        rig.start(up("s", backend));
        HttpTestConnection first = rig.client();
        first.write(Rig.get("same", ""));
        backend.nextRequest();
        HttpTestConnection duplicate = rig.client();
        duplicate.write(Rig.get("same", ""));
        assertEquals(400, duplicate.read().status());
        duplicate.reset();
        assertEquals(400, rig.call(Rig.get("same", "")).status());
        release.countDown();
        assertEquals("mine", first.read().text());
    }

    /** A client gets no longer deadline than its class, and no cost hint may corrupt the module's means. */
    @ParameterizedTest
    @CsvSource({"1800000m, 1e300, 10000000, 0", "9999999u, Infinity, 9999999, 0", "5000m, NaN, 5000000, 0",
        "5000m, -7, 5000000, 0", "5000m, 10000001, 5000000, 0", "5000m, 300000.5, 5000000, 300000"})
    void boundsDeadlineAndCostHintOfClients(String deadline, String costHint, long maxTimeLeftUs,
            long expectedWorkUs) throws Exception {
        BlockingQueue<Balancer.Request> accepted = new LinkedBlockingQueue<>();
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request incoming) {
                accepted.add(incoming);
                actions.refuse(incoming.id(), 0);
            }
        })).start();
        rig.call(Rig.get("r", "X-Deadline: " + deadline + "\r\nX-Cost-Hint: " + costHint + "\r\n"));
        Balancer.Request request = accepted.take();
        assertTrue(request.timeLeftUs() <= maxTimeLeftUs, request.toString());
        assertEquals(expectedWorkUs, request.expectedWorkUs());
    }

    @ParameterizedTest
    @CsvSource({"inflight=1e999", "inflight=-3", "queue=1e300", "inflight=..", "util=-0.1", "=,=", "{"})
    void ignoresInvalidLoadReports(String text) {
        assertNull(LoadReportParser.parse(text));
    }

    /** The proxy forgets removed backends; an attempt that the module still sends to one ends at once. */
    @Test
    void anAttemptToAnUnknownBackendEndsAtOnce() throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (method.equals("request")) {
                actions.send(((Balancer.Request) args[1]).id(), "gone", 0);
            } else if (method.equals("outcome")) {
                outcomes.add((Outcome) args[4]);
                actions.refuse((String) args[1], 0);
            }
        })).start();
        assertEquals(503, rig.call(Rig.get("r", "")).status());
        assertEquals(Outcome.NOT_SENT, outcomes.take());
    }

    @Test
    void limitsTheRateOfLogLinesCausedByPeers() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        EventLog log = new EventLog(new java.io.PrintStream(output));
        for (int i = 0; i < 1000; i++) {
            log.line(EventLog.Kind.CLIENT, "bad " + i);
        }
        log.line(EventLog.Kind.BACKEND, "other");
        assertEquals(6, output.toString(StandardCharsets.UTF_8).lines().count());
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK",
                request.header("X-Request-Id")));
        rig.start(up("s", backend));
        HttpTestConnection client = rig.client();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            requests.append(Rig.get("p" + i, ""));
        }
        client.write(requests.toString());
        for (int i = 0; i < 10; i++) {
            assertEquals("p" + i, client.read().text());
        }
    }

    @Test
    void respondsExactlyOnceBeforeTheDeadlineAndCancelsTheAttempt() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> {
            if (request.header("X-Request-Id").equals("slow")) {
                connection.socket.getInputStream().read();
            } else {
                connection.respond("200 OK", "quick");
            }
        });
        rig.start(up("s", backend));
        HttpTestConnection client = rig.client();
        long startNs = System.nanoTime();
        client.write(Rig.post("/move", "slow", "X-Deadline: 1500m\r\n"));
        Message response = client.read();
        assertTrue((System.nanoTime() - startNs) / 1_000_000 < 1500);
        assertEquals(502, response.status(), "an unsafe request that may have run must not get a 503");
        backend.awaitClosedConnection();
        client.write(Rig.get("next", ""));
        assertEquals("quick", client.read().text(), "a second response was written for the first request");
    }

    /**
     * The module's timer is due when the first request's time is over, and runs in the same event loop. The
     * clock is frozen, so that no time is deducted for delays of the loop.
     */
    @Test
    void respondsBeforeTheDeadlineIfTheModuleDoesNot() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        rig.freezeClock().module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request incoming && incoming.id().equals("sent")) {
                actions.wakeAt((long) args[0] + 900_000);
                actions.send(incoming.id(), "s", 0);
            } else if (method.equals("clientGone")) {
                events.add("response to " + args[1]);
            } else if (method.equals("timer")) {
                events.add("end of its time");
            }
        })).start(up("s", backend));
        assertEquals(502, rig.call(Rig.post("/move", "sent", "X-Deadline: 900m\r\n")).status());
        assertEquals("response to sent", events.take());
        assertEquals("end of its time", events.take());
        assertEquals(503, rig.call(Rig.post("/move/held", "held", "X-Deadline: 300m\r\n")).status());
    }

    /** A request's time-out runs while the event loop is blocked and reads nothing. */
    @Test
    void deductsTheTimeThatARequestWaitedUnread() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        CountDownLatch loopBlocked = new CountDownLatch(1);
        BlockingQueue<Long> timesLeftUs = new LinkedBlockingQueue<>();
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request incoming) {
                if (incoming.id().equals("first")) {
                    loopBlocked.countDown();
                    LockSupport.parkNanos(400_000_000);
                } else {
                    timesLeftUs.add(incoming.timeLeftUs());
                }
                actions.refuse(incoming.id(), 0);
            }
        })).start(up("s", backend));
        HttpTestConnection first = rig.client();
        HttpTestConnection second = rig.client();
        first.write(Rig.get("first", ""));
        loopBlocked.await();
        second.write(Rig.get("second", "X-Deadline: 5000m\r\n"));
        assertEquals(503, second.read().status());
        assertTrue(timesLeftUs.take() < 4_800_000);
    }

    /** Fragments arrive over a longer time than the deadline allows, but it counts from the last one. */
    @Test
    void theDeadlineOfAFragmentedRequestCountsFromItsLastByte() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.freezeClock().start(up("s", backend));
        HttpTestConnection client = rig.client();
        String request = Rig.post("/move", "r", "X-Deadline: 1000m\r\n");
        for (int offset = 0; offset < request.length(); offset += 40) {
            client.write(request.substring(offset, Math.min(offset + 40, request.length())));
            // Once another client's request is answered, the event loop has read the fragment.
            assertEquals(200, rig.call("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n").status());
            rig.advanceClock(300);
        }
        assertEquals("x", client.read().text());
    }

    @Test
    void refusesWithRetryAfterIfNoAttemptRan() throws Exception {
        ScriptedServer full = rig.backend((connection, request) -> connection.write(
                "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
        rig.latencyGoalUs(300_000).start(up("s", full));
        Message response = rig.call(Rig.post("/move", "r", "X-Deadline: 9000m\r\n"));
        assertEquals(503, response.status());
        assertEquals("2", response.header("Retry-After"));
    }

    /** Without Retry-After clients retry at once and run out of retries before the situation changes. */
    @Test
    void anImmediateRefusalHasRetryAfter() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> {
            if (request.startLine().startsWith("POST")) {
                connection.write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            } else {
                Thread.sleep(20);
                connection.respond("200 OK", "");
            }
        });
        rig.limit("maxAttempts", 1).start(up("s", backend));
        assertEquals(200, rig.call(Rig.get("a", "")).status());
        Message response = rig.call(Rig.post("/move", "r", "X-Deadline: 9000m\r\n"));
        assertEquals(503, response.status());
        double seconds = Double.parseDouble(response.header("Retry-After"));
        assertTrue(seconds > 0 && seconds < 2, response.header("Retry-After"));
    }

    /** A client's invalid request must not use up the retry budget that other requests need. */
    @Test
    void doesNotRetryARequestThatABackendRejectedWith400() throws Exception {
        ScriptedServer.Script rejecting = (connection, request) -> connection.respond("400 Bad Request", "");
        ScriptedServer first = rig.backend(rejecting);
        ScriptedServer second = rig.backend(rejecting);
        rig.start(up("a", first), up("b", second));
        assertTrue(rig.call(Rig.get("r", "")).status() >= 400);
        assertEquals(1, first.receivedRequests.size() + second.receivedRequests.size());
    }

    /** If a response is lost, the request must not fail: once overdue, it is also sent to another backend. */
    @Test
    void hedgesAnOverdueRequestOnlyIfItMayRunTwice() throws Exception {
        BlockingQueue<String> receivedIds = new LinkedBlockingQueue<>();
        ScriptedServer.Script script = (connection, request) -> {
            String id = request.header("X-Request-Id");
            receivedIds.add(id);
            if (id.startsWith("warm") || receivedIds.stream().filter(id::equals).count() == 2) {
                connection.respond("200 OK", id);
            }
        };
        rig.start(up("a", rig.backend(script)), up("b", rig.backend(script)));
        for (int i = 0; i < 4; i++) {
            assertEquals(200, rig.call(Rig.get("warm" + i, "")).status());
        }
        assertEquals("stuck", rig.call(Rig.get("stuck", "")).text());
        assertEquals("keyed", rig.call(Rig.post("/buy", "keyed", "Idempotency-Key: k\r\n")).text());
        assertEquals(502, rig.call(Rig.post("/move", "unsafe", "X-Deadline: 500m\r\n")).status());
        assertEquals(1, receivedIds.stream().filter("unsafe"::equals).count());
    }

    @Test
    void doesNotRetryAnUnsafeRequestAfterAReset() throws Exception {
        ScriptedServer.Script resetting = (connection, request) -> connection.reset();
        ScriptedServer first = rig.backend(resetting);
        ScriptedServer second = rig.backend(resetting);
        rig.start(up("a", first), up("b", second));
        assertEquals(502, rig.call(Rig.post("/move", "r", "")).status());
        assertEquals(1, first.receivedRequests.size() + second.receivedRequests.size());
    }

    @Test
    void retriesAnUnsafeRequestThatDidNotRun() throws Exception {
        ScriptedServer.Script refusing = (connection, request) -> {
            if (request.header("X-Request-Id").equals("r")) {
                connection.write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            }
        };
        ScriptedServer good = ScriptedServer.respondingWith("done");
        ScriptedServer full = rig.backend(refusing);
        try (good) {
            rig.start(up("full", full));
            HttpTestConnection client = rig.client();
            client.write(Rig.post("/move", "r", ""));
            full.nextRequest();
            rig.discoveryLines.add(Rig.list(9, false, up("good", good)));
            assertEquals("done", client.read().text());
        }
    }

    /** The list changes after the module has sent the attempt and before its connection is established. */
    @Test
    void nothingIsWrittenToABackendThatDrainsWhileConnecting() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", ""));
        EndpointList drainingList = EndpointList.parse(JSON.std.mapFrom(Rig.list(9, false,
                Rig.entry("s", backend.address(), "DRAINING"))), List.of("a"), List.of("m"));
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (method.equals("request")) {
                actions.send(((Balancer.Request) args[1]).id(), "s", 0);
                ((Discovery.Listener) actions).onServerList(drainingList);
            } else if (method.equals("outcome")) {
                outcomes.add((Outcome) args[4]);
                actions.refuse((String) args[1], 0);
            }
        })).start(up("s", backend));
        assertEquals(503, rig.call(Rig.post("/move", "r", "")).status());
        assertEquals(Outcome.NOT_SENT, outcomes.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertTrue(backend.receivedRequests.isEmpty());
    }

    @Test
    void resumesABrokenWatchFromTheLastIndexAndSkipsBadLines() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.start(up("s", backend));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        rig.discoveryLines.add("{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":5}]}");
        rig.discoveryLines.add("not json");
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=8"),
                "invalid lines must not advance the version");
        assertEquals("s", rig.call(Rig.get("a", "")).text(), "the last valid list must stay in use");
        ScriptedServer other = rig.backend((connection, request) -> connection.respond("200 OK", "t"));
        rig.discoveryLines.add(Rig.list(12, false, Rig.entry("s", backend.address(), "DELETED"),
                up("t", other)));
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=12"));
        assertEquals("t", rig.call(Rig.get("b", "")).text());
    }

    @Test
    void fetchesTheFullListIfTheVersionHasExpired() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.start(up("s", backend));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        ScriptedServer other = rig.backend((connection, request) -> connection.respond("200 OK", "t"));
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        rig.discoveryLines.add(Rig.EXPIRED_VERSION);
        rig.discoveryLines.add(Rig.list(40, true, up("t", other)));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=8"));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().nextRequest().startLine());
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=40"));
        assertEquals("t", rig.call(Rig.get("b", "")).text());
    }

    @Test
    void aClientThatDisconnectsCancelsItsAttempt() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(up("s", backend));
        HttpTestConnection closing = rig.client();
        closing.write(Rig.get("a", ""));
        backend.nextRequest();
        closing.close();
        backend.awaitClosedConnection();
        HttpTestConnection resetting = rig.client();
        resetting.write(Rig.get("b", ""));
        backend.nextRequest();
        resetting.reset();
        backend.awaitClosedConnection();
    }

    @Test
    void aClientThatHalfClosesGets502AndIsDisconnected() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(up("s", backend));
        HttpTestConnection client = rig.client();
        client.write(Rig.get("a", ""));
        backend.nextRequest();
        client.socket.shutdownOutput();
        assertEquals(502, client.read().status());
        assertNull(client.read());
        backend.awaitClosedConnection();
    }

    @Test
    void probesAskForTheLoad() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.respond("200 OK",
                request.startLine().contains("/status/load") ? "TEXT inflight=0, queue=0, util=0.1"
                : "served"));
        rig.limit("probes", true).start(up("s", backend));
        assertEquals("served", rig.call(Rig.get("a", "")).text());
        // A request does not wait for a slow probe, so either may arrive first.
        Message firstReceived = backend.nextRequest();
        boolean probeFirst = firstReceived.startLine().contains("/status/load");
        Message probe = probeFirst ? firstReceived : backend.nextRequest();
        assertEquals("GET /status/load HTTP/1.1", probe.startLine());
        assertNull(probe.header("X-Request-Id"), "a probe must not have a request id");
    }

    @Test
    void badConfigurationGivesOneLineAndStatusTwo() throws Exception {
        ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
        var environment = new java.util.HashMap<>(rig.limit("maxAttempts", "many").environment());
        assertEquals(2, ProxyServer.serve(environment, new java.io.PrintStream(errorOutput)));
        assertEquals(1, errorOutput.toString(StandardCharsets.UTF_8).lines().count(), errorOutput.toString());
        assertTrue(errorOutput.toString(StandardCharsets.UTF_8).contains("limits.maxAttempts"),
                errorOutput.toString());
        environment.remove("PROXY_LISTEN");
        assertEquals(2, ProxyServer.serve(environment, new java.io.PrintStream(errorOutput)));
        assertTrue(errorOutput.toString(StandardCharsets.UTF_8).contains("PROXY_LISTEN is not set"));
        assertEquals(2, errorOutput.toString(StandardCharsets.UTF_8).lines().count());
    }
}
