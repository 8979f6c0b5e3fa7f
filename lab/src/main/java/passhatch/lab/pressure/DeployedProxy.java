package passhatch.lab.pressure;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import passhatch.lab.DeployFile;

/** A process of the proxy, started with the {@code run} command of the deploy file. */
final class DeployedProxy implements Closeable {

    /** Zone of all servers. */
    static final String ZONE = "a";
    /** Machine type of all servers. */
    static final String MACHINE_TYPE = "m";
    /** Longest time that a client waits, in every request class. */
    static final Duration DEADLINE = Duration.ofMillis(2_000);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final int POLL_INTERVAL_MS = 20;

    /**
     * Where a proxy runs; the processes of an upgrade share it.
     *
     * @param root root directory of the project, with the service built
     * @param directory directory of its files, also its {@code TMPDIR}
     * @param address address that clients connect to
     * @param discovery address of discovery
     * @param memoryMb limit on memory in its configuration
     * @param descriptors limit on descriptors in its configuration
     */
    record Deployment(Path root, Path directory, InetSocketAddress address, InetSocketAddress discovery,
            int memoryMb, int descriptors) { }

    private final Deployment deployment;
    private final InetSocketAddress console;
    private final Process process;
    private final Path log;

    /** Starts a process without waiting for it. */
    DeployedProxy(Deployment deployment, int number) throws IOException {
        this.deployment = deployment;
        this.console = freeAddress();
        Path config = deployment.directory().resolve("config-" + number + ".json");
        Files.writeString(config, JSON.std.asString(configuration(deployment)));
        log = deployment.directory().resolve("proxy-" + number + ".log");
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", DeployFile.runCommand(deployment.root()));
        builder.environment().putAll(Map.of("PROXY_NAME", "n0", "PROXY_LISTEN",
                hostAndPort(deployment.address()), "PROXY_DISCOVERY", hostAndPort(deployment.discovery()),
                "PROXY_CONFIG", config.toString(), "PROXY_CONSOLE", hostAndPort(console), "TMPDIR",
                deployment.directory().toString()));
        process = builder.directory(deployment.root().toFile()).redirectErrorStream(true)
                .redirectOutput(log.toFile()).start();
    }

    private static Map<String, Object> configuration(Deployment deployment) {
        Map<String, Object> limits = Map.of("maxAttempts", 3, "cancel", true, "mayDuplicate", true,
                "probes", false, "retryAfter", false, "maxRetryAfterUs", 0, "maxStreams", 1,
                "keepaliveUs", 30_000_000, "connectTimeoutUs", 250_000);
        Map<String, Object> rules = Map.of("drainGraceUs", 2_500_000, "coldFrom", 0.32, "coldUs", 8_600_000,
                "tipMultiple", 3, "overloadForUs", 3_000_000);
        List<Map<String, Object>> classes = List.of(requestClass("read", "pure"),
                requestClass("book", "token"), requestClass("settle", "side_effect"));
        return Map.of("seed", "00000000000000ff",
                "limits", Map.of("sockets", deployment.descriptors(), "memory_mb", deployment.memoryMb()),
                "settings", new HashMap<>(Map.of("categories", classes, "tenants", List.of(),
                        "dcs", List.of(ZONE), "machineTypes", List.of(MACHINE_TYPE), "balancers", 1,
                        "discovery", "pushed", "limits", limits, "rules", rules)));
    }

    private static Map<String, Object> requestClass(String name, String effect) {
        long deadlineUs = TimeUnit.MILLISECONDS.toMicros(DEADLINE.toMillis());
        return Map.of("name", name, "effect", effect, "goalTimeUs", deadlineUs / 2, "deadlineUs", deadlineUs,
                "worth", 1, "lateWorth", 0.5, "group", "all", "dedupWindowUs", deadlineUs);
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Waits until the console says that this process serves.
     *
     * @throws IOException if the process ends, or is not ready within 30 s
     */
    void awaitReady() throws IOException, InterruptedException {
        long endNs = System.nanoTime() + START_TIMEOUT.toNanos();
        while (process.isAlive() && System.nanoTime() < endNs) {
            try {
                if (callConsole("ready").statusCode() == 200) {
                    return;
                }
            } catch (IOException notListening) {
                // It does not listen yet; it is asked again after a pause.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        throw new IOException("the proxy ended or was not ready in time: " + Files.readString(log));
    }

    private java.net.http.HttpResponse<String> callConsole(String path)
            throws IOException, InterruptedException {
        return HttpClient.newHttpClient().send(HttpRequest.newBuilder(
                URI.create("http://" + hostAndPort(console) + "/control/" + path)).build(),
                BodyHandlers.ofString());
    }

    /** The metrics of the process, one per line; empty if it does not answer. */
    String metrics() throws InterruptedException {
        try {
            return callConsole("counters").body();
        } catch (IOException noAnswer) {
            return "";
        }
    }

    InetSocketAddress address() {
        return deployment.address();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Memory in kB by its name in the status file of the process; 0 if the process has ended. */
    long memoryKb(String name) {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!process.isAlive()) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith(name + ":"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(0);
        } catch (IOException | UncheckedIOException ended) {
            return 0;
        }
    }

    /** Sends the process a signal, by its name without SIG. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** What the process has written so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
