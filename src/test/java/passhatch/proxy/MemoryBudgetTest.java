package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.proxy.HttpTestConnection.Message;

/** The bytes of responses and streamed bodies that a proxy holds, and its behaviour at the limit. */
@Timeout(120)
final class MemoryBudgetTest {

    private static final long SEED = Long.getLong("memory.seed", 1);
    private static final int TRANSFERS = Integer.getInteger("memory.transfers", 400);
    private static final int BUDGET_BYTES = 1 << 20;
    /** A budget that random transfers use up from time to time, so that requests are refused. */
    private static final int SMALL_BUDGET_BYTES = 1 << 18;
    private static final byte[] CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    private static final int ALLOWED_READ_BYTES = BackendPool.MAX_READ_BYTES;

    @TempDir
    Path folder;
    private ProxyMemory memory = memoryOf(BUDGET_BYTES);

    private static ProxyMemory memoryOf(int transferBytes) {
        return new ProxyMemory(new MemoryBudget(1 << 21), new MemoryBudget(transferBytes));
    }

    /** The most that may be held: the budget, one read, and one small read for each connection. */
    private static int maxHeldBytes(int budgetBytes, int connections) {
        return budgetBytes + ALLOWED_READ_BYTES + connections * MemoryBudget.SCARCE_READ_BYTES;
    }

    private int maxHeldBytes(Rig rig) throws Exception {
        return (int) rig.proxy().submitToLoop(() -> memory.transfer().maxHeldBytes()).get();
    }

    private void awaitNothingHeld(Rig rig) throws Exception {
        long endNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        int heldBytes = -1;
        while (heldBytes != 0 && System.nanoTime() < endNs) {
            heldBytes = (int) rig.proxy().submitToLoop(() -> memory.transfer().heldBytes()).get();
        }
        assertEquals(0, heldBytes, "bytes held after all transfers have ended");
    }

    /** Connects with a small receive buffer, so that a client that does not read stops the proxy soon. */
    private static HttpTestConnection slowClient(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1 << 12);
        socket.connect(address);
        socket.setSoTimeout(HttpTestConnection.TIMEOUT_MS);
        return new HttpTestConnection(socket);
    }

    private static void writeChunk(OutputStream out, byte[] bytes, int length) throws IOException {
        out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes, 0, length);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a chunked response of a length, in chunks of a size. */
    private static void respondInChunks(HttpTestConnection connection, int bytes, int chunkBytes)
            throws IOException {
        OutputStream out = new BufferedOutputStream(connection.socket.getOutputStream(), 1 << 14);
        out.write(CHUNKED_HEAD);
        byte[] chunk = new byte[chunkBytes];
        for (int left = bytes; left > 0; left -= chunkBytes) {
            writeChunk(out, chunk, Math.min(left, chunkBytes));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    // Guards against review/3: slow downloads filled the heap, and the event loop ended.
    @Test
    void slowDownloadsTogetherHoldNoMoreThanTheBudget() throws Exception {
        int downloads = 80;
        try (Rig rig = new Rig(folder).memory(memory)) {
            rig.maxSockets(512);
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                entries.add(Rig.entry("s" + i, rig.backend((connection, request) -> {
                    if (request.startLine().contains("x=1")) {
                        respondInChunks(connection, 32_000_000, 1_000);
                    } else {
                        connection.respond("200 OK", "short");
                    }
                }).address(), "SERVING"));
            }
            rig.start(entries.toArray(new String[0]));
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < downloads; i++) {
                HttpTestConnection client = slowClient(rig.proxy().address());
                clients.add(client);
                client.write(Rig.get("d" + i, ""));
            }
            for (HttpTestConnection client : clients) {
                assertEquals("HTTP/1.1 200 OK", client.readLine());
            }
            for (int i = 0; i < 20; i++) {
                assertEquals(200, rig.call("GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: r" + i
                        + "\r\n\r\n").status());
            }
            assertTrue(maxHeldBytes(rig) <= maxHeldBytes(BUDGET_BYTES, downloads),
                    "bytes held: " + maxHeldBytes(rig));
            for (HttpTestConnection client : clients) {
                client.reset();
            }
            awaitNothingHeld(rig);
        }
    }

    // Guards against review/3's cause on the buffered path: unfinished responses below the streaming limit.
    @Test
    void responsesThatExceedTheBudgetAreForwardedBeforeTheyAreComplete() throws Exception {
        int responses = 24;
        int bytes = 60_000;
        CountDownLatch mostSent = new CountDownLatch(responses);
        CountDownLatch mayEnd = new CountDownLatch(1);
        try (Rig rig = new Rig(folder).memory(memory)) {
            rig.maxSockets(256);
            byte[] content = new byte[bytes];
            new SplittableRandom(SEED).nextBytes(content);
            rig.start(Rig.entry("s", rig.backend((connection, request) -> {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
                connection.socket.getOutputStream().write(content, 0, bytes - 1);
                mostSent.countDown();
                mayEnd.await();
                connection.socket.getOutputStream().write(content, bytes - 1, 1);
            }).address(), "SERVING"));
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < responses; i++) {
                clients.add(rig.client());
                clients.get(i).write(Rig.get("r" + i, ""));
            }
            assertTrue(mostSent.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            mayEnd.countDown();
            for (HttpTestConnection client : clients) {
                assertArrayEquals(content, client.read().body());
            }
            assertTrue(maxHeldBytes(rig) <= maxHeldBytes(BUDGET_BYTES, responses) + bytes,
                    "bytes held: " + maxHeldBytes(rig));
            awaitNothingHeld(rig);
        }
    }

    // Guards against unfinished responses whose buffers used up the budget, so that every request got 503.
    @Test
    void unfinishedResponsesLeaveRoomForNewRequests() throws Exception {
        int unfinished = 2 * BUDGET_BYTES / ResponseReader.MAX_BUFFERED_BYTES;
        CountDownLatch mostSent = new CountDownLatch(unfinished);
        try (Rig rig = new Rig(folder).memory(memory)) {
            rig.start(Rig.entry("s", rig.backend((connection, request) -> {
                if (request.startLine().contains("x=1")) {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
                    connection.write(new byte[59_999]);
                    mostSent.countDown();
                } else {
                    connection.respond("200 OK", "short");
                }
            }).address(), "SERVING"));
            for (int i = 0; i < unfinished; i++) {
                rig.client().write(Rig.get("u" + i, ""));
            }
            assertTrue(mostSent.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            for (int i = 0; i < 20; i++) {
                assertEquals(200, rig.call("GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: r" + i
                        + "\r\n\r\n").status(), "short request " + i);
            }
        }
    }

    @Test
    void requestsAreRefusedWhileTheBudgetIsUsedUp() throws Exception {
        AtomicInteger backendRequests = new AtomicInteger();
        try (Rig rig = new Rig(folder).memory(memory)) {
            rig.start(Rig.entry("s", rig.backend((connection, request) -> {
                backendRequests.incrementAndGet();
                connection.respond("200 OK", "x");
            }).address(), "SERVING"));
            holdOnLoop(rig, BUDGET_BYTES);
            HttpTestConnection client = rig.client();
            client.write(Rig.get("a", ""));
            assertEquals(503, client.read().status());
            assertEquals(0, backendRequests.get());
            holdOnLoop(rig, -BUDGET_BYTES);
            client.write(Rig.get("b", ""));
            assertEquals(200, client.read().status());
            assertEquals(1, backendRequests.get());
        }
    }

    // Guards against half requests that keep the memory for bodies, so that whoever came later was refused.
    @Test
    void halfRequestsGiveWayToLaterOnes() throws Exception {
        int halfBytes = 30_000;
        int inputBytes = 1 << 20;
        memory = new ProxyMemory(new MemoryBudget(inputBytes), new MemoryBudget(BUDGET_BYTES));
        try (Rig rig = new Rig(folder).memory(memory)) {
            rig.maxSockets(256);
            rig.start(Rig.entry("s", rig.backend((connection, request) -> connection.respond("200 OK",
                    Integer.toString(request.body().length))).address(), "SERVING"));
            for (int i = 0; i < 2 * inputBytes / halfBytes; i++) {
                rig.client().write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: h" + i
                        + "\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(halfBytes));
            }
            for (int bytes : new int[] {1_000, 40_000, 65_000}) {
                assertEquals(Integer.toString(bytes), rig.call("POST /move HTTP/1.1\r\nHost: p\r\n"
                        + "X-Request-Id: sound" + bytes + "\r\nContent-Length: " + bytes + "\r\n\r\n"
                        + "x".repeat(bytes)).text());
            }
            assertTrue((int) rig.proxy().submitToLoop(() -> memory.input().maxHeldBytes()).get()
                    <= inputBytes + ALLOWED_READ_BYTES);
        }
    }

    private void holdOnLoop(Rig rig, int bytes) throws Exception {
        rig.proxy().submitToLoop(() -> {
            memory.transfer().hold(bytes);
            return null;
        }).get();
    }

    @Test
    void onlyOkResponsesTakeBufferMemory() {
        for (HttpResponseStatus status : List.of(HttpResponseStatus.OK, HttpResponseStatus.BAD_GATEWAY)) {
            MemoryBudget budget = new MemoryBudget(2_000);
            ResponseReader reader = new ResponseReader(budget);
            assertNull(reader.read(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status)));
            assertNull(reader.read(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[1_500]))));
            assertEquals(status.equals(HttpResponseStatus.OK) ? 1_500 : 0, budget.heldBytes());
            assertFalse(reader.exceedsBuffer());
            assertNull(reader.read(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[1_000]))));
            assertEquals(status.equals(HttpResponseStatus.OK), reader.exceedsBuffer());
            assertTrue(reader.read(LastHttpContent.EMPTY_LAST_CONTENT) != null);
            reader.releaseBuffer();
            assertEquals(0, budget.heldBytes());
        }
    }

    // Guards against many long heads that are read ahead: each counted as 512 bytes, whatever its length.
    @Test
    void headsThatAreReadAheadCountWithTheirHeaders() {
        MemoryBudget budget = new MemoryBudget(1 << 20);
        ReadAheadBuffer readAhead = new ReadAheadBuffer(budget);
        int headers = 50;
        String value = "v".repeat(100);
        for (int heads = 1; heads <= 10; heads++) {
            DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
            for (int i = 0; i < headers; i++) {
                head.headers().add("X-Header", value);
            }
            readAhead.add(head, 0);
            assertTrue(budget.heldBytes() >= heads * headers * value.length(), "held: " + budget.heldBytes());
        }
        while (!readAhead.isEmpty()) {
            readAhead.poll();
        }
        assertEquals(0, budget.heldBytes());
    }

    /**
     * Downloads and uploads of random sizes and chunks, with clients that leave in the middle and backends
     * that break off: no more is held than the budget allows, whatever is complete is unchanged, and nothing
     * is held in the end. A longer run:
     * {@code -Dmemory.transfers=20000 -Dmemory.seed=7}.
     */
    @Test
    @Timeout(1_800)
    void randomTransfersStayInTheBudgetAndLeaveNothingBehind() throws Exception {
        int threads = 24;
        memory = memoryOf(SMALL_BUDGET_BYTES);
        AtomicInteger next = new AtomicInteger();
        AtomicInteger completed = new AtomicInteger();
        AtomicReference<Throwable> failure = new AtomicReference<>();
        try (Rig rig = new Rig(folder).memory(memory)) {
            rig.maxSockets(256);
            rig.start(Rig.entry("s", rig.backend((connection, request) -> {
                String path = request.startLine().split(" ")[1];
                int transfer = Integer.parseInt(path.substring(path.indexOf('=') + 1));
                new Transfer(transfer).respond(connection);
            }).address(), "SERVING"));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                clients.add(new Thread(() -> {
                    for (int t = next.getAndIncrement(); t < TRANSFERS; t = next.getAndIncrement()) {
                        try {
                            completed.addAndGet(new Transfer(t).run(rig.proxy().address()) ? 1 : 0);
                        } catch (IOException expected) {
                            // Connections that this test or a backend breaks off.
                        } catch (RuntimeException | Error wrong) {
                            failure.compareAndSet(null, wrong);
                        }
                    }
                }));
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                client.join();
            }
            assertNull(failure.get(), () -> "seed " + SEED + ": " + failure.get());
            assertTrue(completed.get() > TRANSFERS / 4, "completed transfers: " + completed);
            assertTrue(maxHeldBytes(rig)
                            <= maxHeldBytes(SMALL_BUDGET_BYTES, threads)
                            + threads * ResponseReader.MAX_BUFFERED_BYTES,
                    "seed " + SEED + ", bytes held: " + maxHeldBytes(rig));
            awaitNothingHeld(rig);
        }
    }

    /** A random transfer; client and backend derive the same one from its number. */
    private static final class Transfer {
        final int number;
        final SplittableRandom random;
        final int uploadBytes;
        final int responseBytes;
        final int chunkBytes;
        final boolean clientLeaves;
        final boolean backendBreaksOff;

        Transfer(int number) {
            this.number = number;
            this.random = new SplittableRandom(SEED * 1_000_003 + number);
            this.uploadBytes = random.nextInt(3) == 0 ? random.nextInt(300_000) : 0;
            this.responseBytes = 1 + random.nextInt(random.nextBoolean() ? 60_000 : 800_000);
            this.chunkBytes = 1 + random.nextInt(random.nextInt(4) == 0 ? 50 : 20_000);
            this.clientLeaves = random.nextInt(6) == 0;
            this.backendBreaksOff = random.nextInt(8) == 0;
        }

        void respond(HttpTestConnection connection) throws IOException {
            OutputStream out = new BufferedOutputStream(connection.socket.getOutputStream(), 1 << 13);
            out.write(CHUNKED_HEAD);
            byte[] chunk = new byte[chunkBytes];
            Arrays.fill(chunk, (byte) number);
            int breakAt = backendBreaksOff ? responseBytes / 2 : -1;
            for (int left = responseBytes; left > 0; left -= chunkBytes) {
                writeChunk(out, chunk, Math.min(left, chunkBytes));
                if (left < breakAt) {
                    out.flush();
                    connection.reset();
                    return;
                }
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        /** Runs the client's side; returns whether a whole response was read. */
        boolean run(InetSocketAddress address) throws IOException {
            try (HttpTestConnection client = slowClient(address)) {
                client.write((uploadBytes > 0 ? "POST" : "GET") + " /board/7?x=" + number
                        + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: t" + number + "\r\n"
                        + (uploadBytes > 0 ? "Content-Length: " + uploadBytes + "\r\n" : "") + "\r\n");
                if (uploadBytes > 0) {
                    client.write(new byte[uploadBytes]);
                }
                if (clientLeaves) {
                    client.input().readNBytes(random.nextInt(responseBytes));
                    client.reset();
                    return false;
                }
                Message response = client.read();
                if (response.status() != 200) {
                    return false;
                }
                assertEquals(responseBytes, response.body().length, "length of response " + number);
                for (byte read : response.body()) {
                    assertEquals((byte) number, read, "a byte of response " + number);
                }
                return true;
            }
        }
    }
}
