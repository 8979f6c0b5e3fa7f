package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Many slow downloads through a proxy in its own process, with the heap that it has in service. */
@Timeout(90)
final class SlowDownloadsTest {

    private static final int DOWNLOADS = 260;
    private static final int MAX_DESCRIPTORS = 1_024;
    private static final int LONG_BYTES = 4_000_000;
    /** Most bytes of a response that are buffered, before it is streamed. */
    private static final int FIRST_BYTES = 80_000;
    private static final int SMALL_CHUNK_BYTES = 1_000;
    private static final int LARGE_CHUNK_BYTES = 16_000;
    private static final int READ_BYTES = 6_400;
    private static final long READ_INTERVAL_MS = 100;
    /** Longer than the proxy's write time-out of 10 s. */
    private static final long STEADY_READING_NS = 13_000_000_000L;
    private static final String MEMORY_OPTIONS =
            "-XX:+UseSerialGC -Xms32m -Xmx32m -Xmn8m -XX:MaxDirectMemorySize=32m";

    @TempDir
    Path folder;

    private static void respond(HttpTestConnection connection) throws IOException {
        OutputStream out = new BufferedOutputStream(connection.socket.getOutputStream(), 1 << 14);
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        byte[] chunk = new byte[LARGE_CHUNK_BYTES];
        for (int sent = 0; sent < LONG_BYTES;) {
            int size = sent < FIRST_BYTES ? SMALL_CHUNK_BYTES : LARGE_CHUNK_BYTES;
            out.write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(chunk, 0, size);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            sent += size;
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /**
     * Guards against a steady download that is cut off: the proxy saw a client that read 64 kB a second take
     * nothing for over ten seconds, as the kernel's send buffer had to drain by a third first.
     */
    @Test
    void aDownloadThatIsReadSlowlyButSteadilyIsNotCutOff() throws Exception {
        int bytes = 12_000_000;
        try (Rig rig = new Rig(folder)) {
            rig.start(Rig.entry("s", rig.backend((connection, request) -> {
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
                connection.write(new byte[bytes]);
            }).address(), "SERVING"));
            HttpTestConnection client = slowClient(rig.proxy().address());
            client.write(Rig.get("a", ""));
            long slowUntilNs = System.nanoTime() + STEADY_READING_NS;
            int received = client.input().read(new byte[READ_BYTES]);
            while (System.nanoTime() < slowUntilNs) {
                received += client.input().read(new byte[READ_BYTES]);
                Thread.sleep(READ_INTERVAL_MS);
            }
            received += client.input().readNBytes(bytes - received).length;
            assertEquals(bytes, received, rig.log::toString);
        }
    }

    private static HttpTestConnection slowClient(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(1 << 12);
        socket.connect(address);
        return new HttpTestConnection(socket);
    }

    // Guards against review/3: buffers kept for streamed responses filled the heap, and nothing was answered.
    @Test
    void shortRequestsAreAnsweredBesideManySlowDownloads() throws Exception {
        try (Rig rig = new Rig(folder)) {
            rig.maxSockets(MAX_DESCRIPTORS);
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                entries.add(Rig.entry("s" + i, rig.backend((connection, request) -> {
                    if (request.startLine().contains("x=1")) {
                        respond(connection);
                    } else {
                        connection.respond("200 OK", "short");
                    }
                }).address(), "SERVING"));
            }
            rig.discoveryLines.add(Rig.list(8, true, entries.toArray(new String[0])));
            Map<String, String> environment = new HashMap<>(rig.environment());
            environment.put("JAVA_TOOL_OPTIONS", MEMORY_OPTIONS);
            try (ProxyProcess proxy = new ProxyProcess(environment)) {
                List<HttpTestConnection> downloads = new ArrayList<>();
                for (int i = 0; i < DOWNLOADS; i++) {
                    HttpTestConnection download = slowClient(proxy.address);
                    downloads.add(download);
                    download.write(Rig.get("d" + i, ""));
                    assertEquals("HTTP/1.1 200 OK", download.readLine(), "download " + i);
                }
                for (int i = 0; i < 50; i++) {
                    try (HttpTestConnection client = HttpTestConnection.connect(proxy.address)) {
                        client.write("GET /board/7 HTTP/1.1\r\nHost: p\r\nX-Request-Id: r" + i + "\r\n\r\n");
                        assertEquals(200, client.read().status(), "short request " + i);
                    }
                }
                assertTrue(proxy.process.isAlive());
                for (HttpTestConnection download : downloads) {
                    download.reset();
                }
            }
        }
    }
}
