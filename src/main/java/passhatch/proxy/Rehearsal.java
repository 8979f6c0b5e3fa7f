package passhatch.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import passhatch.LeastLoadedBalancer;

/**
 * A short run of a proxy on loopback when the program is built. The JVM records the classes that it loads
 * and archives them for production starts. A proxy has a fraction of a core, and loading, verifying and
 * linking some thousand classes from the jar would keep its backend waiting for seconds.
 */
public final class Rehearsal {

    /** Longest time for each response and for the shutdown. */
    private static final int TIMEOUT_MS = 10_000;
    /** Number of small requests to the backend, enough to use a keep-alive connection too. */
    private static final int REQUEST_COUNT = 3;
    /**
     * Size of a request body and a response body that are large enough to be streamed rather than buffered.
     */
    private static final int LARGE_BODY_BYTES = 200_000;
    private static final List<String> CONSOLE_REQUESTS = List.of("POST /control/backends/s/offline",
            "POST /control/backends/s/online", "POST /control/out-of-service", "POST /control/in-service",
            "GET /control/counters");

    private static final String SETTINGS = """
            {"categories":[{"name":"c","effect":"pure","group":"all","goalTimeUs":9000000,
             "deadlineUs":9000000,"worth":1},{"name":"u","effect":"side_effect","group":"all",
             "goalTimeUs":9000000,"deadlineUs":9000000,"worth":1}],
             "tenants":[{"name":"t","quotaPerS":0,"share":1}],
             "dcs":["z"],"machineTypes":["m"],"balancers":1,"discovery":"on_request",
             "limits":{"maxAttempts":3,"cancel":true,"maxStreams":1,"keepaliveUs":9000000,
             "connectTimeoutUs":9000000},"rules":{"drainGraceUs":2000000,"coldFrom":0.5,
             "coldUs":1000000,"tipMultiple":2,"overloadForUs":1000000,"askEveryUs":9000000}}""";

    private Rehearsal() { }

    /**
     * Runs the proxy, sends it requests and shuts it down. A failure is reported on {@code err}; its only
     * effect is that no archive is made and proxies start slowly.
     *
     * @return the exit status, 0 if all requests succeeded
     */
    public static int run(PrintStream err) throws InterruptedException {
        NettyDefaults.apply();
        HangUpSignal.onEach(() -> { });
        try (ServerSocket stubListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            // Not Files.createTempDirectory, which would initialize parts of the JDK that a start does not
            // use.
            Path directory = Files.createDirectory(Path.of(System.getProperty("java.io.tmpdir"),
                    "rehearsal-" + ProcessHandle.current().pid() + '-' + System.nanoTime()));
            Path config = directory.resolve("config.json");
            try {
                String stubAddress = "127.0.0.1:" + stubListener.getLocalPort();
                String endpointList = """
                        {"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"%s","zone":"z",\
                        "type":"m","group":0,"status":"SERVING","weight":1,"since_ms":0}]}
                        """.formatted(stubAddress);
                Files.writeString(config, "{\"seed\":\"1\",\"limits\":{\"sockets\":256},\"known\":"
                        + endpointList + ",\"settings\":" + SETTINGS + "}");
                Thread stubThread = new Thread(() -> serveStub(stubListener, endpointList), "stub");
                stubThread.setDaemon(true);
                stubThread.start();
                ProxyServer proxy = ProxyServer.start(ProxyConfig.read(Map.of("PROXY_NAME", "n",
                        "PROXY_LISTEN", "127.0.0.1:0", "PROXY_CONSOLE", "127.0.0.1:0", "PROXY_DISCOVERY",
                        stubAddress, "PROXY_CONFIG", config.toString(), "TMPDIR", directory.toString())),
                        new EventLog(err), LeastLoadedBalancer::new);
                for (int i = 0; i < REQUEST_COUNT; i++) {
                    exchange(proxy.address(), "GET /c/x HTTP/1.1\r\nHost: p\r\nX-Request-Id: r" + i
                            + "\r\nX-Tenant: t\r\nX-Deadline: 9000m\r\nX-Cost-Hint: 9\r\n\r\n");
                }
                exchange(proxy.address(), "POST /u/x HTTP/1.1\r\nHost: p\r\nX-Request-Id: large\r\n"
                        + "Content-Length: " + LARGE_BODY_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BODY_BYTES));
                for (String methodAndPath : CONSOLE_REQUESTS) {
                    exchange(proxy.consoleAddress(), methodAndPath + " HTTP/1.1\r\nHost: c\r\n\r\n");
                }
                proxy.terminateNow();
                return proxy.awaitTermination(TIMEOUT_MS) ? 0 : 1;
            } finally {
                try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
                    for (Path file : files) {
                        Files.delete(file);
                    }
                }
                Files.delete(directory);
            }
        } catch (IOException | ProxyConfig.InvalidConfigException | ExecutionException e) {
            err.println("passhatch: rehearsal: " + e.getMessage());
            return 1;
        }
    }

    private static void exchange(InetSocketAddress address, String request) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(TIMEOUT_MS);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String statusLine = new BufferedReader(new InputStreamReader(client.getInputStream(),
                    StandardCharsets.US_ASCII)).readLine();
            if (statusLine == null || !statusLine.contains(" 200 ")) {
                throw new IOException("unexpected response to a request: " + statusLine);
            }
        }
    }

    /** Stub for discovery and the backend. Each connection has a thread, and all threads end with the JVM. */
    private static void serveStub(ServerSocket listener, String endpointList) {
        while (true) {
            try {
                Socket connection = listener.accept();
                Thread thread = new Thread(() -> respond(connection, endpointList), "stub connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private static void respond(Socket connection, String endpointList) {
        try (connection; BufferedReader in = new BufferedReader(new InputStreamReader(
                connection.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String requestLine = in.readLine(); requestLine != null; requestLine = in.readLine()) {
                long unreadBodyBytes = 0;
                for (String header = in.readLine(); header != null && !header.isEmpty();) {
                    if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        unreadBodyBytes = Long.parseLong(header.substring(header.indexOf(':') + 1).strip());
                    }
                    header = in.readLine();
                }
                while (unreadBodyBytes > 0) {
                    unreadBodyBytes -= in.skip(unreadBodyBytes);
                }
                String body = requestLine.contains("/v1/endpoints") ? endpointList
                        : requestLine.startsWith("POST") ? "x".repeat(LARGE_BODY_BYTES) : "ok";
                String response = requestLine.contains("watch=1")
                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n"
                        : "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException ended) {
            // The proxy has closed the connection, so there are no more requests to answer.
        }
    }
}
