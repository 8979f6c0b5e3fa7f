import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One proxy with 1,024 descriptors in front of 17 backends. Clients ask one after the other for answers of
 * 32 MB and read them at 64 kB a second, until 260 of them do: fewer than a third of the descriptors. Beside
 * them four clients send short requests. Each of these has to get a final answer, and no long answer may be
 * cut off.
 */
public final class SlowDownloads {

    private static final int DOWNLOADS = 260;
    private static final int BETWEEN_DOWNLOADS_MS = 40;
    private static final int SERVICE_MS = 80;
    private static final int LONG_BYTES = 32_000_000;
    private static final int SHORT_BYTES = 32_000;
    /** The first part of an answer comes in small chunks, the rest in longer ones. */
    private static final int SMALL_CHUNKS_BYTES = 80_000;
    private static final int SMALL_CHUNK_BYTES = 1_000;
    private static final int CHUNK_BYTES = 16_000;
    private static final int WRITE_BYTES = 16_384;
    private static final int READ_BYTES = 6_400;
    private static final int READ_INTERVAL_MS = 100;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int LONG_DEADLINE_MS = 1_500;
    private static final int DEADLINE_MS = 800;
    private static final int AFTER_MS = 8_000;

    private static void download(Standin.Record record, Standin.Proxy proxy, String id, int bytes, long endNs,
            AtomicInteger cut) throws IOException {
        boolean begun = false;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(Standin.LOOPBACK, proxy.port));
            socket.setSoTimeout(60_000);
            record.line(id + " sent, a download of " + bytes + " bytes");
            Standin.write(socket, Standin.get("/status/long/" + id, id, LONG_DEADLINE_MS));
            InputStream in = socket.getInputStream();
            Standin.Message head = Standin.readHead(in);
            record.line(id + " answered " + (head == null ? "by a close" : head.firstLine));
            begun = head != null && head.status() == 200;
            long received = 0;
            byte[] piece = new byte[READ_BYTES];
            while (begun && received < bytes && System.nanoTime() < endNs) {
                int count = in.read(piece);
                if (count < 0) {
                    throw new IOException("end after " + received + " bytes");
                }
                received += count;
                Standin.sleep(READ_INTERVAL_MS);
            }
        } catch (IOException broken) {
            // A request on a new connection that ends before any answer has failed and is not lost.
            if (begun) {
                cut.incrementAndGet();
            }
            record.line(id + (begun ? " CUT: " : " failed: ") + broken);
        }
    }

    public static void main(String[] args) throws Exception {
        Standin.main(args, (record, trouble) -> {
            int bytes = trouble ? LONG_BYTES : SHORT_BYTES;
            byte[] chunk = new byte[CHUNK_BYTES];
            List<Standin.Backend> backends = new ArrayList<>();
            for (int i = 0; i < 17; i++) {
                backends.add(new Standin.Backend("s-5be2a0" + (10 + i), (backend, socket, request) -> {
                    String id = request.header("X-Request-Id");
                    record.line(backend.id + " runs " + id);
                    Standin.sleep(SERVICE_MS);
                    if (!request.path().startsWith("/status/long/")) {
                        Standin.answer(socket, "200 OK", "answer to " + id);
                        return;
                    }
                    BufferedOutputStream out = new BufferedOutputStream(socket.getOutputStream(), WRITE_BYTES);
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                    for (int left = bytes; left > 0;) {
                        int size = Math.min(left, bytes - left < SMALL_CHUNKS_BYTES ? SMALL_CHUNK_BYTES
                                : CHUNK_BYTES);
                        out.write((Integer.toHexString(size) + "\r\n").getBytes());
                        out.write(chunk, 0, size);
                        out.write("\r\n".getBytes());
                        left -= size;
                    }
                    out.write("0\r\n\r\n".getBytes());
                    out.flush();
                }));
            }
            Standin.Discovery discovery = new Standin.Discovery(record, backends);
            Standin.Proxy proxy = new Standin.Proxy(record, discovery, 0, 2, 1_024);
            if (!proxy.awaitReady()) {
                throw new IllegalStateException("the proxy is not ready");
            }
            long endNs = System.nanoTime() + (DOWNLOADS * BETWEEN_DOWNLOADS_MS + AFTER_MS) * 1_000_000L;
            AtomicInteger nextId = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            AtomicInteger cut = new AtomicInteger();
            List<Thread> shortClients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                shortClients.add(Standin.start(() -> {
                    Standin.Client client = new Standin.Client(proxy);
                    while (System.nanoTime() < endNs) {
                        String id = "r" + nextId.incrementAndGet();
                        record.line(id + " sent");
                        Standin.Message answer = client.get("/status/" + id, id, DEADLINE_MS);
                        if (answer == null) {
                            lost.incrementAndGet();
                        }
                        record.line(id + (answer == null ? " LOST: no answer in " + DEADLINE_MS
                                + " ms and 0.5 s more" : " answered " + answer.status()));
                        Standin.sleep(200);
                    }
                }));
            }
            for (int i = 0; i < DOWNLOADS; i++) {
                String id = "d" + i;
                Standin.start(() -> download(record, proxy, id, bytes, endNs, cut));
                Standin.sleep(BETWEEN_DOWNLOADS_MS);
            }
            record.line("all downloads have been asked for");
            for (Thread client : shortClients) {
                client.join();
            }
            record.line("the proxy " + (proxy.process.isAlive() ? "is running" : "has ended")
                    + ", processor time " + proxy.process.info().totalCpuDuration().orElse(null));
            int cutWhileOpen = cut.get();
            proxy.end();
            record.line(nextId + " short requests sent, " + lost + " lost; " + DOWNLOADS + " downloads, "
                    + cutWhileOpen + " cut off");
            return lost.get() == 0 && cutWhileOpen == 0;
        });
    }
}
