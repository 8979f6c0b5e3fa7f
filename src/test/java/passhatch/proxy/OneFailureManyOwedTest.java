package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.Balancer;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.proxy.BackendPool.Handle;
import passhatch.proxy.BackendPool.OutgoingRequest;
import passhatch.proxy.BackendPool.ResponseSink;
import passhatch.proxy.BackendPool.Result;
import passhatch.proxy.BackendPool.Target;

/** An error in the handling of one request or connection leaves the others what they are owed. */
@Timeout(60)
final class OneFailureManyOwedTest {

    private static final int REQUESTS_OF_EACH_KIND = 8;
    private static final String LONG_RESPONSE = "x".repeat(100_000);
    private static final long MAX_RESPONSE_TIME_MS = 8_000;

    @TempDir
    Path folder;
    private Rig rig;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final EventLog log = new EventLog(System.err);
    private final ProxyMemory memory = ProxyMemory.ofHeap(Runtime.getRuntime().maxMemory());
    private final BackendPool pool =
            new BackendPool(loop, new Clock(), log, 10_000_000, 10_000_000, 10, memory.transfer());
    private final CountDownLatch testEnded = new CountDownLatch(1);

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        testEnded.countDown();
        rig.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Guards against review/10: requests whose streamed response was complete while another attempt was still
     * out ended the last step of a shutdown, and the requests behind them got no response.
     */
    @Test
    void aCompleteStreamBesideAHungAttemptStopsNoFinalResponse() throws Exception {
        ScriptedServer hung = rig.backend((connection, request) -> testEnded.await());
        ScriptedServer good = rig.backend(
                (connection, request) -> connection.respond("200 OK", LONG_RESPONSE));
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request request) {
                actions.send(request.id(), "hung", 0);
                if (request.id().startsWith("streamed")) {
                    actions.send(request.id(), "good", 0);
                }
            }
        })).start(Rig.entry("hung", hung.address(), "SERVING"), Rig.entry("good", good.address(), "SERVING"));
        for (int i = 0; i < REQUESTS_OF_EACH_KIND; i++) {
            assertEquals(LONG_RESPONSE, rig.call(Rig.get("streamed" + i, "")).text());
        }
        List<HttpTestConnection> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS_OF_EACH_KIND; i++) {
            HttpTestConnection client = rig.client();
            client.write(Rig.get("stuck" + i, ""));
            clients.add(client);
            while (!hung.nextRequest().header("X-Request-Id").equals("stuck" + i)) {
                // Attempts of the other requests.
            }
        }
        long startNs = System.nanoTime();
        rig.proxy().shutDown();
        for (HttpTestConnection client : clients) {
            assertEquals(502, client.read().status());
        }
        long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
        assertTrue(elapsedMs < MAX_RESPONSE_TIME_MS, "answered only at their deadlines: " + elapsedMs);
    }

    /** A loop over requests in which one fails, here because its client's connection throws. */
    @Test
    void aResponseThatCannotBeWrittenStopsNoOther() throws Exception {
        Map<String, ProxyResponse> responses = new ConcurrentHashMap<>();
        ProxyLoop proxy = proxyLoop((settings, seed, actions) -> ScriptedModule.of((method, args) -> { }));
        loop.submit(() -> {
            for (int i = 0; i < 2 * REQUESTS_OF_EACH_KIND; i++) {
                String id = "r" + i;
                boolean fails = i % 2 == 0;
                proxy.accept(request(id), responder(response -> {
                    if (fails) {
                        throw new IllegalStateException("by the test");
                    }
                    responses.put(id, response);
                }));
            }
            proxy.terminateAll();
        }).get();
        assertEquals(REQUESTS_OF_EACH_KIND, responses.size());
        assertTrue(loop.submit(() -> proxy.accept(request("r0"), responder(response -> { }))).get(),
                "nothing is left of a request whose response failed");
    }

    /** A module that throws while it handles a request: that one fails, and the module is told of its end. */
    @Test
    void aRequestThatTheModuleFailsOnIsEndedThereToo() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        BlockingQueue<ProxyResponse> responses = new LinkedBlockingQueue<>();
        ProxyLoop proxy = proxyLoop((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            events.add(method);
            if (method.equals("request")) {
                throw new IllegalStateException("by the test");
            }
        }));
        loop.submit(() -> proxy.accept(request("r"), responder(responses::add))).get();
        assertEquals(502, responses.remove().status().code());
        assertTrue(events.contains("clientGone"), events.toString());
        assertTrue(loop.submit(() -> proxy.accept(request("r"), responder(responses::add))).get(),
                "its id is free again");
    }

    // Guards against calls that wait in the module for good because a call of its timer threw.
    @Test
    void aTimerOfTheModuleThatThrowsIsRepeated() throws Exception {
        CountDownLatch timerCalls = new CountDownLatch(2);
        proxyLoop((settings, seed, actions) -> {
            actions.wakeAt(0);
            return ScriptedModule.of((method, args) -> {
                if (method.equals("timer")) {
                    timerCalls.countDown();
                    throw new StackOverflowError("by the test");
                }
            });
        });
        assertTrue(timerCalls.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    // Guards against a list that the module never gets, because the next watch resumes behind its version.
    @Test
    void aListThatTheModuleThrowsOnIsFetchedAgain() throws Exception {
        CountDownLatch lists = new CountDownLatch(2);
        ScriptedServer discovery = rig.backend((connection, request) -> {
            String list = Rig.list(8, true) + "\n";
            if (request.startLine().contains("watch=1&from=7")) {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
            } else if (!request.startLine().contains("watch=1")) {
                connection.respond("200 OK", list);
            }
        });
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (method.equals("serversChanged") && args[1] == ListKind.FULL) {
                lists.countDown();
                throw new IllegalStateException("by the test");
            }
        })).startWithoutList(discovery.address());
        assertTrue(lists.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** A handle of a request that has ended leaves alone the request that its connection carries next. */
    @Test
    void theHandleOfAnEndedRequestDoesNothing() throws Exception {
        ScriptedServer server = rig.backend((connection, request) -> {
            testEnded.await(request.startLine().contains("slow") ? 300 : 0, TimeUnit.MILLISECONDS);
            connection.respond("200 OK", LONG_RESPONSE);
        });
        BlockingQueue<Result> results = new LinkedBlockingQueue<>();
        Handle ended = send(server.address(), "/x", results);
        assertEquals(Outcome.OK, nextOutcome(results));
        send(server.address(), "/slow", results);
        loop.submit(() -> {
            ended.abortIfStalled();
            ended.setTimeout(0);
            ended.cancel();
        }).get();
        assertEquals(Outcome.OK, nextOutcome(results));
        assertEquals(1, server.connectionCount.get());
    }

    /** The end of a request whose listener throws: the connection serves the next request all the same. */
    @Test
    void aListenerThatThrowsLeavesTheConnectionUsable() throws Exception {
        ScriptedServer server = ScriptedServer.respondingWith("y");
        CountDownLatch called = new CountDownLatch(1);
        loop.submit(() -> pool.send(new Target("s", server.address()), outgoing("/x"), result -> {
            called.countDown();
            throw new IllegalStateException("by the test");
        })).get();
        assertTrue(called.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        BlockingQueue<Result> results = new LinkedBlockingQueue<>();
        send(server.address(), "/x", results);
        assertEquals(Outcome.OK, nextOutcome(results));
        server.close();
    }

    private ProxyLoop proxyLoop(ProxyServer.ModuleFactory module) throws Exception {
        Map<String, String> environment = new HashMap<>(rig.environment());
        environment.put("PROXY_DISCOVERY", "127.0.0.1:" + rig.discovery().address().getPort());
        ProxyConfig config = ProxyConfig.read(environment);
        return loop.submit(() -> new ProxyLoop(loop, new Clock(), log, config, pool, module, memory,
                RequestIdTable.ofThisProcess())).get();
    }

    private ProxyRequest request(String id) {
        RequestBody body = new RequestBody(memory.input(), 0);
        body.end();
        return new ProxyRequest(id, 0, 0, 5_000_000, 0, false, HttpMethod.GET, "/board", null, body);
    }

    private static Outcome nextOutcome(BlockingQueue<Result> results) throws InterruptedException {
        return results.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS).outcome();
    }

    private static OutgoingRequest outgoing(String path) {
        return new OutgoingRequest(
                () -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path), () -> true,
                () -> { }, 10_000_000, Outcome.TIMEOUT);
    }

    private Handle send(InetSocketAddress address, String path, BlockingQueue<Result> results)
            throws Exception {
        return loop.submit(() -> pool.send(new Target("s", address), outgoing(path),
                new BackendPool.Listener() {
                    @Override
                    public ResponseSink openSink(long lengthBytes, Runnable resumeReading) {
                        return new DiscardingSink();
                    }

                    @Override
                    public void done(Result result) {
                        results.add(result);
                    }
                })).get();
    }

    private static ProxyLoop.Responder responder(Consumer<ProxyResponse> onResponse) {
        return new ProxyLoop.Responder() {
            @Override
            public void respond(ProxyResponse response) {
                onResponse.accept(response);
            }

            @Override
            public ResponseSink startStream(long contentLength, Runnable resumeReading) {
                return null;
            }

            @Override
            public ClientPresence.Status clientStatus() {
                return ClientPresence.Status.PRESENT;
            }
        };
    }

    /** Takes a streamed response and forgets it. */
    private static final class DiscardingSink implements ResponseSink {
        @Override
        public void write(ByteBuf bytes) {
            bytes.release();
        }

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void end() { }

        @Override
        public void fail() { }
    }
}
