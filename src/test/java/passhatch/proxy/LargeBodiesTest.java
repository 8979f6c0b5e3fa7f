package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.proxy.HttpTestConnection.Message;

/** Request and response bodies that are too long to be buffered, over loopback sockets. */
@Timeout(90)
final class LargeBodiesTest {

    private static final int LARGE_BYTES = 5_000_000;

    @TempDir
    Path folder;
    private final byte[] content = new byte[LARGE_BYTES];
    private final BlockingQueue<byte[]> receivedBodies = new LinkedBlockingQueue<>();
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
        new Random(3).nextBytes(content);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /** Reads the rest of a request whose first line has been read and returns its body. */
    private static byte[] readBody(HttpTestConnection from) throws IOException {
        return readBody(from, false);
    }

    /** Reads the rest of a response whose first line has been read and returns its body. */
    private static byte[] readResponse(HttpTestConnection from) throws IOException {
        return readBody(from, true);
    }

    /** Reads headers and a body framed as they say; only that of a response may end with the connection. */
    private static byte[] readBody(HttpTestConnection from, boolean isResponse) throws IOException {
        long length = -1;
        boolean chunked = false;
        for (String line = from.readLine(); line != null && !line.isEmpty(); line = from.readLine()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Long.parseLong(line.substring("content-length:".length()).strip());
            }
            chunked |= lower.equals("transfer-encoding: chunked");
        }
        if (!chunked && length < 0) {
            return isResponse ? from.input().readAllBytes() : new byte[0];
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (!chunked) {
            body.write(readExactly(from, (int) length));
            return body.toByteArray();
        }
        while (true) {
            String line = from.readLine();
            if (line == null) {
                throw new EOFException("connection ended before the last chunk");
            }
            int size = Integer.parseInt(line.split(";")[0].strip(), 16);
            body.write(readExactly(from, size));
            if (size == 0) {
                for (String trailer = from.readLine(); trailer != null && !trailer.isEmpty();) {
                    trailer = from.readLine();
                }
                return body.toByteArray();
            }
            from.readLine();
        }
    }

    private static byte[] readExactly(HttpTestConnection from, int size) throws IOException {
        byte[] read = from.input().readNBytes(size);
        if (read.length < size) {
            throw new EOFException("connection ended before the end of the body; bytes read: " + read.length);
        }
        return read;
    }

    /** How a backend handles a request whose first line has been read. */
    private interface Behaviour {
        void act(HttpTestConnection connection, String start) throws IOException, InterruptedException;
    }

    /** Starts a backend whose behaviour reads request bodies itself. */
    private ServerSocket backend(Behaviour behaviour) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ScriptedServer.startDaemonThread(() -> {
            try {
                while (true) {
                    HttpTestConnection connection = new HttpTestConnection(listener.accept());
                    ScriptedServer.startDaemonThread(() -> {
                        try {
                            for (String start = connection.readLine(); start != null; start =
                                    connection.readLine()) {
                                behaviour.act(connection, start);
                            }
                        } catch (IOException | InterruptedException ended) {
                            // Tests check what was received, not how connections end.
                        }
                    });
                }
            } catch (IOException closed) {
                // Closed at the end of the test.
            }
        });
        return listener;
    }

    private static String up(String name, ServerSocket backend) {
        return Rig.entry(name, (InetSocketAddress) backend.getLocalSocketAddress(), "SERVING");
    }

    private ServerSocket backendThatReadsBodies() throws IOException {
        return backend((connection, start) -> {
            receivedBodies.add(readBody(connection));
            connection.respond("200 OK", "taken");
        });
    }

    private void start(Behaviour behaviour) throws Exception {
        rig.start(up("s", backend(behaviour)));
    }

    private HttpTestConnection post(String path, String headers) throws IOException {
        HttpTestConnection client = rig.client();
        client.write("POST " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: r1\r\n" + headers + "\r\n");
        return client;
    }

    private static void writeChunk(HttpTestConnection connection, byte[] source, int offset, int size,
            String extension)
            throws IOException {
        connection.write(Integer.toHexString(size) + extension + "\r\n");
        connection.write(Arrays.copyOfRange(source, offset, offset + size));
        connection.write("\r\n");
    }

    private byte[] nextBody() throws InterruptedException {
        return receivedBodies.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    void forwardsALargeBodyUnchanged() throws Exception {
        rig.start(up("s", backendThatReadsBodies()));
        HttpTestConnection client = post("/move", "Content-Length: " + LARGE_BYTES + "\r\n");
        client.write(content);
        assertEquals("taken", client.read().text());
        assertArrayEquals(content, nextBody());
        client.write(Rig.get("r2", ""));
        assertEquals("taken", client.read().text(), "the connection must stay usable");
    }

    /** A body of unknown length, with chunk extensions, a trailer and an expectation of 100. */
    @Test
    void forwardsALargeChunkedBodyUnchanged() throws Exception {
        rig.start(up("s", backendThatReadsBodies()));
        HttpTestConnection client = post("/move", "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n");
        assertEquals(100, client.read().status());
        for (int offset = 0; offset < LARGE_BYTES; offset += 250_000) {
            writeChunk(client, content, offset, 250_000, ";name=value");
        }
        client.write("0\r\nX-Trailer: t\r\n\r\n");
        assertEquals("taken", client.read().text());
        assertArrayEquals(content, nextBody());
    }

    /** The backend gets the start of a large body before the end arrives, or all must be buffered. */
    @Test
    void forwardsALargeBodyBeforeItIsComplete() throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        start((connection, start) -> {
            requestReceived.countDown();
            receivedBodies.add(readBody(connection));
            connection.respond("200 OK", "taken");
        });
        HttpTestConnection client = post("/move", "Content-Length: " + LARGE_BYTES + "\r\n");
        client.write(Arrays.copyOf(content, LARGE_BYTES - 1));
        assertTrue(requestReceived.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertTrue(receivedBodies.isEmpty());
        client.write(new byte[] {content[LARGE_BYTES - 1]});
        assertEquals("taken", client.read().text());
        assertArrayEquals(content, nextBody());
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunks", "end"})
    void forwardsALargeResponseUnchanged(String framing) throws Exception {
        start((connection, start) -> {
            readBody(connection);
            switch (framing) {
                case "length" -> {
                    connection.write("HTTP/1.1 103 Early Hints\r\n\r\n");
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n");
                    connection.write(content);
                }
                case "chunks" -> {
                    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int offset = 0; offset < LARGE_BYTES; offset += 100_000) {
                        writeChunk(connection, content, offset, 100_000, "; e");
                    }
                    connection.write("0\r\nX-Trailer: t\r\n\r\n");
                }
                default -> {
                    connection.write("HTTP/1.1 200 OK\r\n\r\n");
                    connection.write(content);
                    connection.close();
                }
            }
        });
        HttpTestConnection client = rig.client();
        for (int i = 0; i < 2; i++) {
            client.write(Rig.get("r" + i, ""));
            assertEquals("HTTP/1.1 200 OK", client.readLine());
            assertArrayEquals(content, readResponse(client));
        }
    }

    /** HTTP/1.0 has no chunks, so a response of unknown length ends with the connection. */
    @Test
    void sendsAnHttp10ClientAResponseThatEndsWithTheConnection() throws Exception {
        start((connection, start) -> {
            readBody(connection);
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeChunk(connection, content, 0, LARGE_BYTES, "");
            connection.write("0\r\n\r\n");
        });
        HttpTestConnection client = rig.client();
        client.write(Rig.get("r1", "").replace("HTTP/1.1", "HTTP/1.0"));
        client.readLine();
        assertArrayEquals(content, readResponse(client));
    }

    /** The backend has sent all of the response, but a slow client has not read all of it yet. */
    @Test
    void shutdownWaitsUntilALargeResponseIsDelivered() throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        int totalBytes = 24 << 20;
        rig.console("127.0.0.1:0");
        start((connection, start) -> {
            readBody(connection);
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + totalBytes + "\r\n\r\n");
            byte[] part = new byte[1 << 16];
            for (int i = 0; i < totalBytes / part.length; i++) {
                connection.write(part);
            }
            written.countDown();
        });
        HttpTestConnection client = new HttpTestConnection(socketWithSmallReceiveBuffer());
        client.write(Rig.get("r1", ""));
        for (String line = client.readLine(); !line.isEmpty();) {
            line = client.readLine();
        }
        int readBytes = 0;
        while (written.getCount() > 0) {
            readBytes += readExactly(client, 1 << 10).length;
        }
        while (!counters().contains("edge_proxy.concurrent=0")) {
            readBytes += readExactly(client, 1 << 11).length;
        }
        HttpTestConnection idleClient = rig.client();
        rig.proxy().shutDown();
        assertNull(idleClient.read(), "shutdown must close idle connections");
        assertEquals(totalBytes - readBytes, client.input().readNBytes(totalBytes - readBytes).length);
        assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
        client.close();
    }

    private String counters() throws IOException {
        try (HttpTestConnection caller = HttpTestConnection.connect(rig.proxy().consoleAddress())) {
            caller.write("GET /control/counters HTTP/1.1\r\nHost: c\r\n\r\n");
            return caller.read().text();
        }
    }

    /** The backend sends the rest only after the client has read the first byte. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void forwardsTheFirstBytesOfAResponseBeforeTheLast(String framing) throws Exception {
        CountDownLatch firstByteRead = new CountDownLatch(1);
        boolean chunked = framing.startsWith("T");
        start((connection, start) -> {
            readBody(connection);
            connection.write("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + (chunked ? "1\r\na\r\n" : "a"));
            firstByteRead.await();
            connection.write(chunked ? "1\r\nb\r\n0\r\n\r\n" : "b".repeat(99_999));
        });
        HttpTestConnection client = rig.client();
        client.write(Rig.get("r1", ""));
        String line = client.readLine();
        assertEquals("HTTP/1.1 200 OK", line);
        while (!line.isEmpty()) {
            line = client.readLine();
        }
        if (chunked) {
            assertEquals("1", client.readLine());
        }
        assertEquals('a', client.input().read());
        firstByteRead.countDown();
        assertEquals('b', client.input().readNBytes(chunked ? 6 : 1)[chunked ? 5 : 0]);
    }

    /** While a client does not read, its backend is not read either, so memory use stays bounded. */
    @Test
    void aClientThatDoesNotReadPausesItsBackend() throws Exception {
        AtomicLong written = new AtomicLong();
        int totalBytes = 32 << 20;
        byte[] part = new byte[1 << 16];
        start((connection, start) -> {
            readBody(connection);
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + totalBytes + "\r\n\r\n");
            for (int i = 0; i < totalBytes / part.length; i++) {
                connection.write(part);
                written.addAndGet(part.length);
            }
        });
        HttpTestConnection client = new HttpTestConnection(socketWithSmallReceiveBuffer());
        client.write(Rig.get("r1", ""));
        long lastWritten = -1;
        while (written.get() != lastWritten || lastWritten <= 0) {
            lastWritten = written.get();
            Thread.sleep(300);
        }
        assertTrue(lastWritten < totalBytes, "the proxy read all though its client read nothing");
        client.readLine();
        assertEquals(totalBytes, readResponse(client).length);
        client.close();
    }

    /** A connection to the proxy whose receive buffer takes only a small part of a response. */
    private Socket socketWithSmallReceiveBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1 << 14);
        socket.connect(rig.proxy().address());
        return socket;
    }

    @Test
    void aClientThatDisconnectsMidResponseReleasesItsBackend() throws Exception {
        CountDownLatch backendDisconnected = new CountDownLatch(1);
        start((connection, start) -> {
            readBody(connection);
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            try {
                while (true) {
                    writeChunk(connection, content, 0, 100_000, "");
                }
            } catch (IOException closed) {
                backendDisconnected.countDown();
            }
        });
        HttpTestConnection client = rig.client();
        client.write(Rig.get("r1", ""));
        client.readLine();
        client.reset();
        assertTrue(backendDisconnected.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** The client detects that a response was cut off, however its body is framed. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5000000", "Transfer-Encoding: chunked", "X-None: 1"})
    void clientsCanTellThatAResponseIsTruncated(String framing) throws Exception {
        Behaviour resetting = (connection, start) -> {
            receivedBodies.add(content);
            readBody(connection);
            connection.write("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            if (framing.startsWith("T")) {
                writeChunk(connection, content, 0, 100_000, "");
            } else {
                connection.write(Arrays.copyOf(content, 100_000));
            }
            if (framing.startsWith("X")) {
                // A reset may discard data that the proxy has not read yet.
                Thread.sleep(400);
            }
            connection.reset();
        };
        rig.start(up("s", backend(resetting)), up("t", backend(resetting)));
        HttpTestConnection client = rig.client();
        client.write(Rig.get("r1", ""));
        client.readLine();
        assertThrows(IOException.class, () -> readResponse(client));
        assertEquals(1, receivedBodies.size(), "no retry once response bytes have been forwarded");
    }

    /** As long as all bytes that were sent are buffered, a failed attempt can be retried. */
    @Test
    void retriesALargeBodyIfTheFirstBackendIsUnreachable() throws Exception {
        ServerSocket unreachable = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        unreachable.close();
        ServerSocket reachable = backendThatReadsBodies();
        rig.start(up("a", reachable), Rig.entry("b", new InetSocketAddress(InetAddress.getLoopbackAddress(),
                unreachable.getLocalPort()), "SERVING"));
        for (int i = 0; i < 4; i++) {
            HttpTestConnection client = rig.client();
            client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: r" + i + "\r\nContent-Length: "
                    + LARGE_BYTES + "\r\n\r\n");
            client.write(content);
            assertEquals("taken", client.read().text());
            assertArrayEquals(content, nextBody());
        }
    }

    /** Bytes that were sent are no longer buffered, so another backend would get only a part of the body. */
    @Test
    void doesNotRetryALargeBodyThatIsNoLongerBuffered() throws Exception {
        Behaviour resetting = (connection, start) -> {
            readExactly(connection, 300_000);
            receivedBodies.add(content);
            connection.reset();
        };
        rig.start(up("a", backend(resetting)), up("b", backend(resetting)));
        HttpTestConnection client =
                post("/buy", "Idempotency-Key: k\r\nContent-Length: " + LARGE_BYTES + "\r\n");
        ScriptedServer.startDaemonThread(() -> {
            try {
                client.write(content);
            } catch (IOException closed) {
                // The proxy may close the connection before it has read the rest.
            }
        });
        Message response = client.read();
        assertTrue(response.status() >= 500, response.startLine());
        assertEquals("close", response.header("Connection"), "the rest of the body must not be waited for");
        assertEquals(1, receivedBodies.size());
    }

    /** A backend may refuse a request before it has all of it; that response is forwarded at once. */
    @Test
    void forwardsAnErrorResponseThatPrecedesTheEndOfTheBody() throws Exception {
        start((connection, start) -> connection.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                + "Content-Length: 0\r\n\r\n"));
        HttpTestConnection client = post("/move", "Content-Length: " + LARGE_BYTES + "\r\n");
        client.write(Arrays.copyOf(content, 200_000));
        assertEquals(503, client.read().status());
    }

    /** Backends process only complete requests, so an early 200 may belong to another request. */
    @Test
    void discardsAnOkResponseThatPrecedesTheEndOfTheBody() throws Exception {
        start((connection, start) -> connection.respond("200 OK", "another's"));
        HttpTestConnection client = post("/move", "Content-Length: " + LARGE_BYTES + "\r\n");
        client.write(Arrays.copyOf(content, 200_000));
        assertEquals(502, client.read().status());
    }

    /** The request can never become complete, so it is cancelled even if settings forbid cancelling. */
    @Test
    void cancelsAnUploadWhoseClientDisconnects() throws Exception {
        CountDownLatch uploadStarted = new CountDownLatch(1);
        CountDownLatch uploadEnded = new CountDownLatch(1);
        rig.limit("cancel", false);
        start((connection, start) -> {
            uploadStarted.countDown();
            try {
                connection.input().readAllBytes();
            } finally {
                uploadEnded.countDown();
            }
        });
        HttpTestConnection client = post("/move", "Content-Length: " + LARGE_BYTES + "\r\n");
        client.write(Arrays.copyOf(content, 200_000));
        assertTrue(uploadStarted.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        client.close();
        assertTrue(uploadEnded.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** A few bytes keep arriving, so no stall is detected, but the request's deadline still applies. */
    @Test
    void abortsASlowTrickledResponseAtItsDeadline() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        start((connection, start) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (!over.await(20, TimeUnit.MILLISECONDS)) {
                connection.write("1\r\nx\r\n");
            }
        });
        HttpTestConnection client = post("/move", "Content-Length: 0\r\nX-Deadline: 900m\r\n");
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        long giveUpAtNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        int nextByte = client.input().read();
        for (; nextByte >= 0 && System.nanoTime() < giveUpAtNs; nextByte = client.input().read()) {
            received.write(nextByte);
        }
        over.countDown();
        assertEquals(-1, nextByte, "the response was not aborted");
        String text = received.toString(StandardCharsets.US_ASCII);
        assertTrue(text.startsWith("HTTP/1.1 200 ") && !text.contains("\r\n0\r\n"), text);
    }

    @Test
    void abortsAnEndlessResponseAtTheSizeLimit() throws Exception {
        byte[] chunk = ("4000\r\n" + "x".repeat(1 << 14) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        start((connection, start) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                connection.write(chunk);
            }
        });
        HttpTestConnection client = post("/move", "Content-Length: 0\r\n");
        long receivedBytes = 0;
        byte[] buffer = new byte[1 << 16];
        for (int count = client.input().read(buffer); count >= 0 && receivedBytes < 40L << 20;
                count = client.input().read(buffer)) {
            receivedBytes += count;
        }
        assertTrue(receivedBytes < 40L << 20);
    }

    @Test
    void malformedChunksAbortTheRequestAtClientAndBackend() throws Exception {
        CountDownLatch bodyTruncated = new CountDownLatch(1);
        start((connection, start) -> {
            try {
                readBody(connection);
                receivedBodies.add(content);
            } catch (EOFException truncated) {
                bodyTruncated.countDown();
            }
        });
        HttpTestConnection client = post("/move", "Transfer-Encoding: chunked\r\n");
        writeChunk(client, content, 0, 200_000, "");
        client.write("zz\r\nGET /board/hidden HTTP/1.1\r\n\r\n");
        assertEquals(400, client.read().status());
        assertNull(client.read());
        assertTrue(bodyTruncated.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertTrue(receivedBodies.isEmpty());
    }

    /** A chunked body declares no length, so its size is only known while it arrives. */
    @Test
    void abortsAChunkedBodyThatExceedsTheSizeLimit() throws Exception {
        CountDownLatch bodyTruncated = new CountDownLatch(1);
        start((connection, start) -> {
            try {
                readBody(connection);
                receivedBodies.add(content);
            } catch (IOException truncated) {
                bodyTruncated.countDown();
            }
        });
        HttpTestConnection client = post("/move", "Transfer-Encoding: chunked\r\n");
        try {
            for (int i = 0; i < 8; i++) {
                writeChunk(client, content, 0, LARGE_BYTES, "");
            }
            assertEquals(413, client.read().status());
        } catch (IOException closed) {
            // The proxy may close the connection while the client is still sending.
        }
        assertTrue(bodyTruncated.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertTrue(receivedBodies.isEmpty());
        try (HttpTestConnection next = HttpTestConnection.connect(rig.proxy().address())) {
            next.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(200, next.read().status());
        }
    }

    /** The second response waits for the first, although its backend sends it earlier. */
    @Test
    void largeResponsesToPipelinedRequestsKeepTheirOrder() throws Exception {
        CountDownLatch secondStarted = new CountDownLatch(1);
        start((connection, start) -> {
            readBody(connection);
            boolean isFirst = start.contains("/first");
            if (isFirst) {
                secondStarted.await();
            }
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n");
            byte[] response = content.clone();
            response[0] = (byte) (isFirst ? 1 : 2);
            connection.write(Arrays.copyOf(response, 100_000));
            secondStarted.countDown();
            connection.write(Arrays.copyOfRange(response, 100_000, LARGE_BYTES));
        });
        HttpTestConnection client = rig.client();
        client.write(Rig.get("r1", "").replace("/board/7", "/board/first")
                + Rig.get("r2", "").replace("/board/7", "/board/second"));
        for (int i = 1; i <= 2; i++) {
            client.readLine();
            byte[] response = readResponse(client);
            assertEquals(i, response[0]);
            assertEquals(LARGE_BYTES, response.length);
        }
    }

    @Test
    void forwardsABodyOfTheMaximumSizeInLittleMemory() throws Exception {
        AtomicLong receivedBytes = new AtomicLong();
        start((connection, start) -> {
            String line = start;
            while (!line.isEmpty()) {
                line = connection.readLine();
            }
            byte[] part = new byte[1 << 16];
            while (receivedBytes.get() < RequestReader.MAX_BODY_BYTES) {
                receivedBytes.addAndGet(connection.input().readNBytes(part, 0, part.length));
            }
            connection.respond("200 OK", "taken");
        });
        HttpTestConnection client = post("/move", "Content-Length: " + RequestReader.MAX_BODY_BYTES + "\r\n");
        byte[] part = new byte[1 << 20];
        for (int i = 0; i < RequestReader.MAX_BODY_BYTES / part.length; i++) {
            client.write(part);
        }
        assertEquals("taken", client.read().text());
        assertEquals(RequestReader.MAX_BODY_BYTES, receivedBytes.get());
        assertEquals(List.of(), rig.log.toString(StandardCharsets.UTF_8).lines()
                .filter(line -> !line.contains(" discovery call 1 (watch from 7) received list 8 "))
                .toList());
    }
}
