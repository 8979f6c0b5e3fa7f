package passhatch.lab.latency;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import passhatch.lab.DeployFile;

/** A proxy in its own process, started with the {@code run} command of the deploy file. */
final class ProxyProcess implements Closeable {

    /** Path of requests of the only request class, which is safe to repeat. */
    static final String PATH = "/any/1";
    static final int DEADLINE_MS = 5_000;
    /** The only zone in the proxy's settings. */
    static final String ZONE = "a";
    /** The only machine type in the proxy's settings. */
    static final String MACHINE_TYPE = "m";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final int POLL_INTERVAL_MS = 50;
    private static final int MAX_SOCKETS = 1_024;

    private final Process process;
    private final InetSocketAddress address;
    private final Path workingDirectory;

    /**
     * Starts a proxy and waits until it is ready. Its output goes to logs/latency-proxy.log.
     *
     * @param root root directory of the project, in which the {@code run} command is started
     * @param cores decides which core the proxy runs on
     * @param discovery address of discovery
     * @throws IOException if the proxy cannot be started or is not ready within 30 s
     */
    ProxyProcess(Path root, CoreAssignment cores, InetSocketAddress discovery)
            throws IOException, InterruptedException {
        workingDirectory = Files.createTempDirectory("served-proxy");
        address = freeAddress();
        Path config = workingDirectory.resolve("config.json");
        Files.writeString(config, JSON.std.asString(createConfig()));
        ProcessBuilder builder = new ProcessBuilder(
                cores.onProxyCore(List.of("/bin/sh", "-c", DeployFile.runCommand(root))));
        builder.environment().putAll(Map.of("PROXY_NAME", "n0", "PROXY_LISTEN", hostAndPort(address),
                "PROXY_DISCOVERY", hostAndPort(discovery), "PROXY_CONFIG", config.toString(),
                "TMPDIR", workingDirectory.toString()));
        Path log = Files.createDirectories(root.resolve("logs")).resolve("latency-proxy.log");
        process = builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile())
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        awaitReady();
    }

    private static Map<String, Object> createConfig() {
        Map<String, Object> requestClass = Map.of("name", "any", "effect", "pure", "goalTimeUs", 1_000_000,
                "deadlineUs", DEADLINE_MS * 1_000, "worth", 1, "group", "all");
        Map<String, Object> limits = Map.of("maxAttempts", 3, "cancel", true, "mayDuplicate", true,
                "probes", false, "retryAfter", true, "maxRetryAfterUs", 1_000_000, "maxStreams", 1,
                "keepaliveUs", 30_000_000, "connectTimeoutUs", 250_000);
        Map<String, Object> rules = Map.of("drainGraceUs", 2_500_000, "coldFrom", 0.32, "coldUs", 8_600_000,
                "tipMultiple", 3, "overloadForUs", 3_000_000);
        return Map.of("seed", "00000000000000ff", "limits", Map.of("sockets", MAX_SOCKETS), "settings",
                Map.of("categories", List.of(requestClass), "tenants", List.of(), "dcs", List.of(ZONE),
                        "machineTypes", List.of(MACHINE_TYPE), "balancers", 1, "discovery", "pushed",
                        "limits", limits, "rules", rules));
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private void awaitReady() throws IOException, InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest readyRequest = HttpRequest
                .newBuilder(URI.create("http://" + hostAndPort(address) + "/ready")).build();
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < endNs && process.isAlive()) {
            try {
                if (client.send(readyRequest, BodyHandlers.discarding()).statusCode() == 200) {
                    return;
                }
            } catch (IOException notListening) {
                // The proxy does not listen yet; the request is repeated after a pause.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        close();
        throw new IOException("the proxy ended or was not ready in time; see logs/latency-proxy.log");
    }

    /** The address that the proxy listens at. */
    InetSocketAddress address() {
        return address;
    }

    /** CPU time that the proxy has used so far; the system counts it in steps of 10 ms. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try (Stream<Path> files = Files.walk(workingDirectory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
