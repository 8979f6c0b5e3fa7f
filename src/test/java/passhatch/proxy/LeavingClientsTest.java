package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.Outcome;

/**
 * Tests that a request whose client disconnected while it was waiting reaches no backend. In each case the
 * module holds the request until it is told that the client is gone and sends it nevertheless, so that the
 * proxy has to prevent the send. A request of another client is sent after that; it must be the first to
 * reach the backend.
 */
@Timeout(60)
final class LeavingClientsTest {

    /** How a client disconnects. */
    enum Disconnect {
        CLOSE {
            @Override
            void perform(HttpTestConnection client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void perform(HttpTestConnection client) throws IOException {
                client.reset();
            }
        },
        HALF_CLOSE {
            @Override
            void perform(HttpTestConnection client) throws IOException {
                client.socket.shutdownOutput();
            }
        };

        abstract void perform(HttpTestConnection client) throws IOException;
    }

    @TempDir
    Path folder;
    private Rig rig;
    private ScriptedServer backend;
    private final BlockingQueue<String> receivedIds = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> clientGoneIds = new LinkedBlockingQueue<>();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final CountDownLatch slowResponsesReleased = new CountDownLatch(1);
    private final CountDownLatch loopReleased = new CountDownLatch(1);
    private ScriptedServer resettingBackend;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
        backend = rig.backend((connection, request) -> {
            if (request.header("X-Request-Id").startsWith("slow")) {
                slowResponsesReleased.await();
            }
            connection.respond("200 OK", request.header("X-Request-Id"));
        });
        resettingBackend = rig.backend((connection, request) -> connection.reset());
    }

    @AfterEach
    void tearDown() throws IOException {
        slowResponsesReleased.countDown();
        rig.close();
    }

    /**
     * Starts a proxy whose module holds each request until its client is gone. Requests with ids that begin
     * with "slow", "last", "connects" or "breaks" are sent at once instead.
     */
    private void startHoldingRequests() throws Exception {
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request request) {
                receivedIds.add(request.id());
                if (request.id().startsWith("slow") || request.id().startsWith("last")) {
                    actions.send(request.id(), "s", 0);
                } else if (request.id().startsWith("connects")) {
                    actions.send(request.id(), "s", 0);
                    rig.proxy().submitToLoop(() ->
                            loopReleased.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                } else if (request.id().startsWith("breaks")) {
                    actions.send(request.id(), "t", 0);
                }
            } else if (method.equals("clientGone")) {
                String id = (String) args[1];
                clientGoneIds.add(id);
                actions.send(id, "s", 0);
            } else if (method.equals("outcome")) {
                outcomes.add((Outcome) args[4]);
            }
        })).start(Rig.entry("s", backend.address(), "SERVING"),
                Rig.entry("t", resettingBackend.address(), "SERVING"));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(next != null, "nothing was received in time");
        return next;
    }

    /** Sends another client's request and checks that the backend has received nothing before it. */
    private void assertNothingWasSent() throws Exception {
        rig.call(Rig.get("last", ""));
        List<String> received = new ArrayList<>();
        for (HttpTestConnection.Message message = backend.nextRequest();; message = backend.nextRequest()) {
            if (message.header("X-Request-Id").equals("last")) {
                break;
            }
            received.add(message.header("X-Request-Id"));
        }
        received.removeIf(id -> id.startsWith("slow"));
        assertEquals(List.of(), received);
    }

    @ParameterizedTest
    @EnumSource
    void whileRequestIsQueuedInTheModule(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("a", ""));
        assertEquals("a", next(receivedIds));
        disconnect.perform(client);
        assertEquals("a", next(clientGoneIds));
        assertNothingWasSent();
    }

    /**
     * The event loop is blocked until the connection to the backend is established and the client has
     * disconnected, so that one iteration of the loop sees both.
     */
    @ParameterizedTest
    @EnumSource
    void whileBackendConnectionIsEstablished(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("connects", ""));
        assertEquals("connects", next(receivedIds));
        while (backend.connectionCount.get() == 0) {
            Thread.onSpinWait();
        }
        disconnect.perform(client);
        loopReleased.countDown();
        assertEquals("connects", next(clientGoneIds));
        assertNothingWasSent();
    }

    @ParameterizedTest
    @EnumSource
    void betweenAttempts(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("breaks", ""));
        assertEquals(Outcome.RESET, next(outcomes));
        disconnect.perform(client);
        assertEquals("breaks", next(clientGoneIds));
        assertNothingWasSent();
    }

    /** No further request is read from such a connection, but its close must still be noticed. */
    @ParameterizedTest
    @EnumSource
    void onConnectionWithoutKeepAlive(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("a", "Connection: close\r\n"));
        assertEquals("a", next(receivedIds));
        disconnect.perform(client);
        assertEquals("a", next(clientGoneIds));
        assertNothingWasSent();
    }

    /** Four requests are open and those behind them are not accepted; the close follows all of them. */
    @ParameterizedTest
    @EnumSource
    void withUnacceptedPipelinedRequests(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        StringBuilder requests = new StringBuilder();
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            requests.append(Rig.get(id, ""));
        }
        client.write(requests.toString());
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals(id, next(receivedIds));
        }
        disconnect.perform(client);
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals(id, next(clientGoneIds));
        }
        assertNothingWasSent();
        assertEquals("last", next(receivedIds), "the requests behind the first four were never accepted");
    }

    /** A request waits behind slow ones; its client has disconnected by the time it could be accepted. */
    @ParameterizedTest
    @EnumSource
    void behindPipelinedRequestsInFlight(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        StringBuilder requests = new StringBuilder();
        for (String id : List.of("slow1", "slow2", "slow3", "slow4", "a")) {
            requests.append(Rig.get(id, ""));
        }
        client.write(requests.toString());
        for (int i = 1; i <= 4; i++) {
            assertEquals("slow" + i, next(receivedIds));
        }
        disconnect.perform(client);
        for (int i = 1; i <= 4; i++) {
            assertEquals("slow" + i, next(clientGoneIds));
        }
        slowResponsesReleased.countDown();
        assertNothingWasSent();
    }

    /** A malformed request follows, so the connection is about to be closed anyway. */
    @ParameterizedTest
    @EnumSource
    void beforeMalformedRequestOnSameConnection(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        client.write(Rig.get("a", "") + "no request\r\n\r\n");
        assertEquals("a", next(receivedIds));
        rig.awaitLog("request refused with 400");
        disconnect.perform(client);
        assertEquals("a", next(clientGoneIds));
        assertNothingWasSent();
    }

    /** The body is larger than the buffer, so reading pauses until a backend receives it. */
    @ParameterizedTest
    @EnumSource
    void whileUploading(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        HttpTestConnection client = rig.client();
        int length = 200_000;
        client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: a\r\nContent-Length: " + length
                + "\r\n\r\n" + "x".repeat(length));
        assertEquals("a", next(receivedIds));
        disconnect.perform(client);
        assertEquals("a", next(clientGoneIds));
        assertNothingWasSent();
    }

    /** Starts a proxy whose module holds each request but "last"; returns the module's actions. */
    private Actions startWithHeldRequests() throws Exception {
        BlockingQueue<Actions> module = new LinkedBlockingQueue<>();
        rig.module((settings, seed, actions) -> {
            module.add(actions);
            return ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request request) {
                    receivedIds.add(request.id());
                    if (request.id().equals("last")) {
                        actions.send(request.id(), "s", 0);
                    }
                }
            });
        }).start(Rig.entry("s", backend.address(), "SERVING"));
        return module.take();
    }

    // Guards against attempts for a client whose close stands behind requests that have not been read yet.
    @ParameterizedTest
    @EnumSource
    void behindMoreRequestsThanAreReadAhead(Disconnect disconnect) throws Exception {
        Actions actions = startWithHeldRequests();
        HttpTestConnection client = rig.client();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 600; i++) {
            requests.append(Rig.get("a" + i, ""));
        }
        rig.proxy().submitToLoop(() -> {
            client.write(requests.toString());
            return null;
        }).get();
        for (int i = 0; i < 4; i++) {
            assertEquals("a" + i, next(receivedIds));
        }
        disconnect.perform(client);
        rig.advanceClock(100);
        rig.proxy().submitToLoop(() -> {
            for (int i = 0; i < 4; i++) {
                actions.send("a" + i, "s", 0);
            }
            return null;
        }).get();
        assertNothingWasSent();
    }

    /**
     * Sends a long request, which the module holds, and has it sent when its client was last known to be
     * there 0.4 s ago.
     *
     * @param pieces its length, in pieces of 100 kB
     */
    private HttpTestConnection uploadThatWaits(int pieces) throws Exception {
        String piece = "x".repeat(100_000);
        Actions actions = startWithHeldRequests();
        HttpTestConnection client = rig.client();
        CountDownLatch moreThanIsReadAhead = new CountDownLatch(Math.min(pieces / 2, 15));
        Thread writer = new Thread(() -> {
            try {
                client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: a\r\n"
                        + "X-Deadline: 1500m\r\nContent-Length: " + piece.length() * pieces + "\r\n\r\n");
                for (int i = 0; i < pieces; i++) {
                    client.write(piece);
                    moreThanIsReadAhead.countDown();
                }
            } catch (IOException closed) {
                // A request that is refused is not read to its end.
            }
        });
        writer.start();
        assertEquals("a", next(receivedIds));
        moreThanIsReadAhead.await(2, TimeUnit.SECONDS);
        Rig.awaitReady(rig.proxy().address());
        rig.advanceClock(400);
        rig.proxy().submitToLoop(() -> {
            actions.send("a", "s", 0);
            return null;
        }).get();
        return client;
    }

    // Guards against refusals of sound uploads that wait for a server, also while memory is scarce.
    @ParameterizedTest
    @ValueSource(ints = {1 << 24, 300_000})
    void anUploadThatHasWaitedIsSentWhileItsClientStays(int inputBytes) throws Exception {
        rig.memory(new ProxyMemory(new MemoryBudget(inputBytes), new MemoryBudget(1 << 24)));
        assertEquals("a", uploadThatWaits(10).read().text());
    }

    // Guards against an attempt whose client may have closed behind more of its body than can be read.
    @Test
    void anUploadWhoseClientMayHaveLeftIsRefused() throws Exception {
        assertEquals(503, uploadThatWaits(300).read().status());
        rig.awaitLog("nobody can tell whether its client is still connected");
        assertNothingWasSent();
    }

    /** Many clients disconnect at once: none of their requests is sent. */
    @ParameterizedTest
    @EnumSource
    void manyClientsAtOnce(Disconnect disconnect) throws Exception {
        startHoldingRequests();
        List<HttpTestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            HttpTestConnection client = rig.client();
            client.write(Rig.get("a" + i, ""));
            clients.add(client);
        }
        for (int i = 0; i < 40; i++) {
            next(receivedIds);
        }
        for (HttpTestConnection client : clients) {
            disconnect.perform(client);
        }
        for (int i = 0; i < 40; i++) {
            next(clientGoneIds);
        }
        assertNothingWasSent();
    }

    /**
     * The event loop is blocked; by the time it reads the request, the client's close has arrived behind it.
     */
    @ParameterizedTest
    @EnumSource
    void beforeRequestIsRead(Disconnect disconnect) throws Exception {
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request request) {
                actions.send(request.id(), "s", 0);
            }
        })).start(Rig.entry("s", backend.address(), "SERVING"));
        slowResponsesReleased.countDown();
        assertEquals(200, rig.call(Rig.get("slow", "")).status(),
                "the backend serves a request, and its connection is kept alive");
        HttpTestConnection client = rig.client();
        client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, client.read().status());
        rig.proxy().submitToLoop(() -> {
            client.write(Rig.get("a", ""));
            disconnect.perform(client);
            return null;
        }).get();
        assertNothingWasSent();
    }

    /**
     * A client sends more at once than the read-ahead buffer holds, so its close could go unnoticed. Once
     * all its input has been read, the client counts as present again and its requests are sent.
     */
    @Test
    void clientIsPresentAgainOnceAllItsInputIsRead() throws Exception {
        int requestCount = 600;
        List<String> heldIds = new ArrayList<>();
        BlockingQueue<Actions> module = new LinkedBlockingQueue<>();
        rig.freezeClock().module((settings, seed, actions) -> {
            module.add(actions);
            return ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request request) {
                    int number = Integer.parseInt(request.id());
                    if (number < 4 || number >= requestCount - 4) {
                        heldIds.add(request.id());
                        receivedIds.add(request.id());
                    } else {
                        actions.refuse(request.id(), 0);
                    }
                }
            });
        }).start(Rig.entry("s", backend.address(), "SERVING"));
        Actions actions = module.take();
        HttpTestConnection client = rig.client();
        client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, client.read().status());
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < requestCount; i++) {
            requests.append(Rig.get(String.valueOf(i), ""));
        }
        rig.proxy().submitToLoop(() -> {
            client.write(requests.toString());
            return null;
        }).get();
        for (int i = 0; i < 4; i++) {
            next(receivedIds);
        }
        rig.proxy().submitToLoop(() -> {
            heldIds.forEach(id -> actions.refuse(id, 0));
            heldIds.clear();
            return null;
        });
        for (int i = 0; i < requestCount - 4; i++) {
            assertEquals(503, client.read().status());
        }
        for (int i = 0; i < 4; i++) {
            next(receivedIds);
        }
        // The response to another client takes some iterations of the event loop.
        Rig.awaitReady(rig.proxy().address());
        rig.advanceClock(300);
        rig.proxy().submitToLoop(() -> {
            heldIds.forEach(id -> actions.send(id, "s", 0));
            return null;
        });
        for (int i = requestCount - 4; i < requestCount; i++) {
            assertEquals(String.valueOf(i), client.read().text());
        }
    }
}
