package passhatch.lab.soak;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import passhatch.lab.DeployFile;

/** One proxy under test: its address and configuration, and the process that serves there now. */
final class ProxyInstance implements Closeable {

    /** Zone and machine kind of all servers. */
    static final String ZONE = "a";
    static final String MACHINE_TYPE = "m";
    static final Duration DRAIN_GRACE = Duration.ofMillis(2_500);
    private static final int MAX_SOCKETS = 256;
    private static final int POLL_INTERVAL_MS = 20;
    private static final long NANOS_PER_MICRO = 1_000;

    private final Path root;
    private final Path workingDirectory;
    private final int number;
    private final int fleetSize;
    private final boolean discoveryOnRequest;
    private final InetSocketAddress address;
    private final FaultShim shim;
    private List<Map<String, Object>> initialEndpoints = List.of();
    private InetSocketAddress discovery;
    private Process process;
    private int startCount;
    private volatile boolean accepting;
    /** When it was last killed, as {@link System#nanoTime}; what it held then is not its loss. */
    private volatile long killedNs = Long.MIN_VALUE;

    /**
     * Describes one; nothing is started.
     *
     * @param root the project's folder, with the service built
     * @param workingDirectory where its configuration and logs go
     * @param number among the {@code fleet} proxies
     * @param discoveryOnRequest whether discovery has to be asked for changes
     */
    ProxyInstance(Path root, Path workingDirectory, int number, int fleetSize, boolean discoveryOnRequest,
            InetSocketAddress discovery,
            FaultShim shim) throws IOException {
        this.root = root;
        this.workingDirectory = workingDirectory;
        this.number = number;
        this.fleetSize = fleetSize;
        this.discoveryOnRequest = discoveryOnRequest;
        this.discovery = discovery;
        this.shim = shim;
        this.address = freeAddress(number);
    }

    /**
     * A free port at a loopback address of its own: at the usual one a connection of another process might
     * take the port while this proxy is down.
     */
    private static InetSocketAddress freeAddress(int number) throws IOException {
        InetAddress ownAddress = InetAddress.getByAddress(new byte[] {127, 1, (byte) (number >> 7),
                (byte) (1 + number % 128)});
        try (ServerSocket socket = new ServerSocket(0, 1, ownAddress)) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    int number() {
        return number;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether clients may open connections to it. */
    boolean isAccepting() {
        return accepting;
    }

    long killedNs() {
        return killedNs;
    }

    FaultShim shim() {
        return shim;
    }

    /** The list that it starts with, in discovery's form. */
    void setInitialEndpoints(List<Map<String, Object>> endpoints) {
        initialEndpoints = endpoints;
    }

    /** Starts its process; {@link #awaitReady} tells when it serves. */
    void start() throws IOException {
        writeConfig();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", DeployFile.runCommand(root));
        builder.environment().putAll(Map.of("PROXY_NAME", "n" + number, "PROXY_LISTEN", hostAndPort(address),
                "PROXY_DISCOVERY", hostAndPort(discovery), "PROXY_CONFIG", configFile().toString(),
                "TMPDIR", workingDirectory.toString()));
        shim.addTo(builder.environment());
        process = builder.directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(workingDirectory.resolve("n" + number + "." + ++startCount
                + ".log").toFile()).start();
    }

    /** Waits until clients may come; false where that took longer, or it ended. */
    boolean awaitReady(Duration timeout) throws InterruptedException {
        long endNs = System.nanoTime() + timeout.toNanos();
        while (process.isAlive() && System.nanoTime() < endNs) {
            if (isReady()) {
                accepting = true;
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return false;
    }

    private boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, POLL_INTERVAL_MS * 10);
            socket.setSoTimeout(POLL_INTERVAL_MS * 50);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII)
                    .endsWith("200");
        } catch (IOException unreachable) {
            return false;
        }
    }

    /** Moves it to another address of discovery with SIGHUP. */
    void changeDiscovery(InetSocketAddress newDiscovery) throws IOException, InterruptedException {
        discovery = newDiscovery;
        writeConfig();
        signal("HUP");
    }

    /** From now on clients open no new connections, as a front that takes it out. */
    void stopNewConnections() {
        accepting = false;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills it outright, if it still runs. */
    void kill() throws InterruptedException {
        accepting = false;
        killedNs = System.nanoTime();
        process.destroyForcibly().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** All that its processes said. */
    String logs() throws IOException {
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= startCount; i++) {
            all.append(Files.readString(workingDirectory.resolve("n" + number + "." + i + ".log")));
        }
        return all.toString();
    }

    private Path configFile() {
        return workingDirectory.resolve("n" + number + ".json");
    }

    private void writeConfig() throws IOException {
        Map<String, Object> limits = Map.of("maxAttempts", 3, "cancel", true, "mayDuplicate", true,
                "probes", false, "retryAfter", false, "maxRetryAfterUs", 0, "maxStreams", 1,
                "keepaliveUs", 5_000_000, "connectTimeoutUs", 250_000);
        Map<String, Object> rules = Map.of("drainGraceUs", DRAIN_GRACE.toNanos() / NANOS_PER_MICRO,
                "askEveryUs", 10_000_000, "coldFrom", 0.4, "coldUs", 3_000_000, "tipMultiple", 3,
                "overloadForUs", 2_000_000);
        List<Map<String, Object>> classes = Arrays.stream(RequestKind.values())
                .map(RequestKind::settings).toList();
        Map<String, Object> settings = new HashMap<>(Map.of("categories", classes, "tenants", List.of(),
                "dcs", List.of(ZONE), "machineTypes", List.of(MACHINE_TYPE), "balancers", fleetSize, "me",
                number,
                "discovery", discoveryOnRequest ? "on_request" : "pushed", "limits", limits, "rules", rules));
        Path temporaryFile = workingDirectory.resolve("n" + number + ".json.new");
        Files.writeString(temporaryFile, JSON.std.asString(Map.of("seed", String.format("%016x", number + 1),
                "discovery", hostAndPort(discovery), "limits", Map.of("sockets", MAX_SOCKETS), "settings",
                settings,
                "known", Map.of("index", 0, "snapshot", true, "endpoints", initialEndpoints))));
        Files.move(temporaryFile, configFile(), StandardCopyOption.ATOMIC_MOVE);
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
