package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.Balancer.Outcome;
import passhatch.proxy.BackendPool.Handle;
import passhatch.proxy.BackendPool.OutgoingRequest;
import passhatch.proxy.BackendPool.Result;
import passhatch.proxy.BackendPool.Target;

/** Tests of the pool with scripted backends: connection reuse, and the outcome of each way a request ends. */
@Timeout(60)
final class BackendPoolTest {

    private static final long LONG_TIMEOUT_US = 15_000_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
    private final AtomicInteger writtenCount = new AtomicInteger();
    private BackendPool pool;

    @BeforeEach
    void setUp() {
        pool = newPool(10_000_000);
    }

    private BackendPool newPool(long keepaliveUs) {
        return new BackendPool(loop, new Clock(), new EventLog(System.err), 10_000_000, keepaliveUs, 2,
                new MemoryBudget(1 << 20));
    }

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Handle send(InetSocketAddress address, boolean wanted, long timeoutUs) throws Exception {
        return loop.submit(() -> pool.send(new Target("s", address),
                new OutgoingRequest(BackendPoolTest::message, () -> wanted, writtenCount::incrementAndGet,
                        timeoutUs, Outcome.TIMEOUT),
                results::add)).get();
    }

    private static FullHttpRequest message() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    }

    private static OutgoingRequest outgoingRequest() {
        return new OutgoingRequest(BackendPoolTest::message, () -> true, () -> { }, LONG_TIMEOUT_US,
                Outcome.TIMEOUT);
    }

    private Result nextResult() throws InterruptedException {
        Result result = results.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(result, "no request has ended");
        return result;
    }

    private Outcome nextOutcome() throws InterruptedException {
        return nextResult().outcome();
    }

    private String sendAndGetBody(InetSocketAddress address) throws Exception {
        send(address, true, LONG_TIMEOUT_US);
        return new String(nextResult().body(), StandardCharsets.UTF_8);
    }

    private Outcome sendAndGetOutcome(InetSocketAddress address) throws Exception {
        send(address, true, LONG_TIMEOUT_US);
        return nextOutcome();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            OK    | 200 OK                               | Content-Length: 2
            ERROR | 500 Broken                           | Content-Length: 2
            FULL  | 503 Full                             | Content-Length: 2;X-Not-Run: 1
            FULL  | 504 Over                             | Content-Length: 2;X-Not-Run: 1
            ERROR | 503 Behind                           | Content-Length: 2
            ERROR | 504 Behind                           | Content-Length: 2
            ERROR | 500 Broken                           | Content-Length: 2;X-Not-Run: 1
            REJECTED | 404 Odd                           | Content-Length: 2
            REJECTED | 400 Bad Request                   | Content-Length: 2
            ERROR | 429 Too Many Requests                | Content-Length: 2
            RESET | 200 OK                               | Content-Length: 9
            ERROR | nonsense                             | Content-Length: 2
            ERROR | HTTP/1.1 OK 200                      | Content-Length: 2
            ERROR | 200 OK                               | no colon here;Content-Length: 2
            ERROR | 200 OK                               | Content-Length: -1;Content-Length: 2
            ERROR | 200 OK                               | Content-Length: 3;Content-Length: 2
            ERROR | 200 OK                               | Content-Length: 3000000000
            ERROR | 200 OK                               | Content-Length: 2;Transfer-Encoding: chunked
            RESET | 200 OK                               | Transfer-Encoding: chunked
            OK    | 200 OK                               | X-Length: 2
            OK    | HTTP/1.0 200 OK                      | X-Length: 2
            ERROR | 101 Switching Protocols              | Upgrade: x
            """)
    void mapsResponsesToOutcomes(Outcome outcome, String status, String headers) throws Exception {
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> {
            String statusLine = status.startsWith("HTTP") ? status : "HTTP/1.1 " + status;
            connection.write(statusLine + "\r\n" + headers.replace(";", "\r\n") + "\r\n\r\nab");
            connection.close();
        })) {
            assertEquals(outcome, sendAndGetOutcome(backend.address()));
        }
    }

    /** A malformed response must fail its request at once, though the backend keeps the connection open. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", "\u0001\u0002 noise\r\n\r\n"})
    void malformedResponseFailsAtOnce(String malformed) throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer((connection, request) -> connection.write(malformed))) {
            assertEquals(Outcome.ERROR, sendAndGetOutcome(backend.address()));
            backend.awaitClosedConnection();
        }
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> connection.write(
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"))) {
            assertEquals("good", sendAndGetBody(backend.address()));
            assertEquals("good", sendAndGetBody(backend.address()));
            assertEquals(1, backend.connectionCount.get(), "the connection is reused");
        }
    }

    /**
     * Bytes after a complete response must not be read as the response to a request that follows at once: the
     * connection is not reused.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond", "noi", "noise\r\n\r\n"})
    void surplusBytesAreNotReadAsNextResponse(String surplus) throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> {
            if (requestCount.getAndIncrement() == 0) {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" + surplus);
            } else {
                connection.respond("200 OK", "own");
            }
        })) {
            Target target = new Target("s", backend.address());
            loop.submit(() -> pool.send(target, outgoingRequest(), first -> {
                results.add(first);
                pool.send(target, outgoingRequest(), results::add);
            })).get();
            assertEquals("first", new String(nextResult().body(), StandardCharsets.UTF_8));
            assertEquals("own", new String(nextResult().body(), StandardCharsets.UTF_8));
            assertEquals(2, backend.connectionCount.get());
        }
    }

    /** An idle connection on which bytes are received must be closed. */
    @Test
    void idleConnectionIsClosedOnUnsolicitedBytes() throws Exception {
        BlockingQueue<HttpTestConnection> respondedConnections = new LinkedBlockingQueue<>();
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> {
            connection.respond("200 OK", "x");
            respondedConnections.add(connection);
        })) {
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            respondedConnections.take().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
            backend.awaitClosedConnection();
        }
    }

    /**
     * A request is sent in an iteration of the event loop in which the close of an idle connection, or
     * surplus bytes on it, have been received but not been read. The request must get a new connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond",
        "HTTP/1.1 2", "\n"})
    void idleConnectionIsReadBeforeReuse(String event) throws Exception {
        CountDownLatch loopBusy = new CountDownLatch(1);
        CountDownLatch happened = new CountDownLatch(1);
        // The script acts on the thread that reads the connection: a socket that another thread closes during
        // a read is released only later.
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> {
            connection.respond("200 OK", "own");
            loopBusy.await();
            switch (event) {
                case "close" -> connection.close();
                case "reset" -> connection.reset();
                default -> connection.write(event);
            }
            happened.countDown();
        })) {
            assertEquals("own", sendAndGetBody(backend.address()));
            loop.submit(() -> {
                loopBusy.countDown();
                assertTrue(happened.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                return pool.send(new Target("s", backend.address()), outgoingRequest(), results::add);
            }).get();
            assertEquals("own", new String(nextResult().body(), StandardCharsets.UTF_8));
            assertEquals(2, backend.connectionCount.get());
        }
    }

    /** The same while the connection is closed as idle: the next request gets a new connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 2", "\n"})
    void bytesReceivedWhileClosingIdleConnectionAreIgnored(String unsolicited) throws Exception {
        CountDownLatch loopBusy = new CountDownLatch(1);
        CountDownLatch happened = new CountDownLatch(1);
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> {
            connection.respond("200 OK", "own");
            loopBusy.await();
            connection.write(unsolicited);
            happened.countDown();
        })) {
            assertEquals("own", sendAndGetBody(backend.address()));
            loop.submit(() -> {
                loopBusy.countDown();
                assertTrue(happened.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                pool.closeIdle(new Target("s", backend.address()));
                return pool.send(new Target("s", backend.address()), outgoingRequest(), results::add);
            }).get();
            assertEquals("own", new String(nextResult().body(), StandardCharsets.UTF_8));
            assertEquals(2, backend.connectionCount.get());
        }
    }

    /** A backend that takes over the address of another one must not get that one's connections. */
    @Test
    void anotherBackendAtTheAddressGetsItsOwnConnections() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            loop.submit(() -> pool.send(new Target("t", backend.address()), outgoingRequest(), results::add))
                    .get();
            assertEquals(Outcome.OK, nextOutcome());
            assertEquals(2, backend.connectionCount.get());
        }
    }

    @Test
    void resetAfterTheRequestIsAReset() throws Exception {
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> connection.reset())) {
            assertEquals(Outcome.RESET, sendAndGetOutcome(backend.address()));
        }
    }

    @Test
    void refusedConnectionIsAConnectFailure() throws Exception {
        InetSocketAddress unusedAddress;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedAddress = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        assertEquals(Outcome.CONNECT_FAILED, sendAndGetOutcome(unusedAddress));
    }

    /** The time-out includes connecting, and a request that was never written cannot have been executed. */
    @Test
    void connectTimeoutIsAConnectFailure() throws Exception {
        try (ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) fullBacklog.getLocalSocketAddress();
            try (Socket first = new Socket(address.getAddress(), address.getPort());
                    Socket second = new Socket(address.getAddress(), address.getPort())) {
                assertTrue(first.isConnected() && second.isConnected());
                send(address, true, 200_000);
                assertEquals(Outcome.CONNECT_FAILED, nextOutcome());
            }
        }
    }

    @Test
    void missingResponseTimesOutAndClosesTheConnection() throws Exception {
        try (ScriptedServer backend = new ScriptedServer(ScriptedServer.NO_RESPONSE)) {
            send(backend.address(), true, 300_000);
            backend.nextRequest();
            assertEquals(Outcome.TIMEOUT, nextOutcome());
            backend.awaitClosedConnection();
        }
    }

    @Test
    void cancelledRequestEndsOnceAndClosesItsConnection() throws Exception {
        try (ScriptedServer backend = new ScriptedServer(ScriptedServer.NO_RESPONSE)) {
            Handle handle = send(backend.address(), true, LONG_TIMEOUT_US);
            backend.nextRequest();
            loop.submit(handle::cancel).get();
            loop.submit(handle::cancel).get();
            assertEquals(Outcome.CANCELLED, nextOutcome());
            backend.awaitClosedConnection();
            assertTrue(results.isEmpty());
        }
    }

    @Test
    void requestNoLongerWantedIsNotWritten() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("hm")) {
            send(backend.address(), false, LONG_TIMEOUT_US);
            assertEquals(Outcome.NOT_SENT, nextOutcome());
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            assertEquals(1, backend.connectionCount.get(), "the connection is kept for the next request");
            assertEquals(1, backend.receivedRequests.size());
        }
    }

    @Test
    void reusesAnIdleConnection() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            assertEquals(1, backend.connectionCount.get());
        }
    }

    /**
     * The backend resets an idle connection on the next request. That request may have been executed, so the
     * pool must not send it again.
     */
    @Test
    void requestOnAStaleConnectionIsAResetAndNotRetried() throws Exception {
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> {
            if (connection.socket.getKeepAlive()) {
                connection.reset();
            } else {
                connection.socket.setKeepAlive(true);
                connection.respond("200 OK", "first");
            }
        })) {
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            assertEquals(Outcome.RESET, sendAndGetOutcome(backend.address()));
            assertEquals(2, backend.receivedRequests.size());
            assertEquals(1, backend.connectionCount.get());
        }
    }

    @Test
    void closesIdleConnectionsBeforeTheBackendMay() throws Exception {
        pool = newPool(1_000);
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            Thread.sleep(1);
            loop.submit(pool::closeStale).get();
            backend.awaitClosedConnection();
        }
    }

    @Test
    void closesIdleConnectionsOnRequest() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndGetOutcome(backend.address()));
            loop.submit(() -> pool.closeIdle(new Target("s", backend.address()))).get();
            backend.awaitClosedConnection();
        }
    }

    @Test
    void sendsNothingPastItsLimitOfConnections() throws Exception {
        try (ScriptedServer backend = new ScriptedServer(ScriptedServer.NO_RESPONSE)) {
            send(backend.address(), true, LONG_TIMEOUT_US);
            send(backend.address(), true, LONG_TIMEOUT_US);
            assertEquals(Outcome.NOT_SENT, sendAndGetOutcome(backend.address()));
        }
    }

    @Test
    void returnsTheLoadReport() throws Exception {
        try (ScriptedServer backend = new ScriptedServer((connection, request) -> connection.write(
                "HTTP/1.1 200 OK\r\nX-Load: TEXT inflight=7, queue=2, util=0.61\r\n"
                + "Content-Length: 0\r\n\r\n"))) {
            send(backend.address(), true, LONG_TIMEOUT_US);
            Result result = results.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(new passhatch.Balancer.LoadReport(7, 2, 0.61), result.report());
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
    }
}
