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

/** A proxy under test: its address, its configuration, and its current process. */
final class ProxyInstance implements Closeable {

    /** Zone of all servers. */
    static final String ZONE = "a";
    /** Machine type of all servers. */
    static final String MACHINE_TYPE = "m";
    /** How long the proxy may still send requests to a server after it was notified of its removal. */
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
    /** Time of the last kill, as of {@link System#nanoTime}; requests in flight then do not count as lost. */
    private volatile long killedNs = Long.MIN_VALUE;

    /**
     * Creates an instance without starting its process.
     *
     * @param root root directory of the project, with the service built
     * @param workingDirectory directory for its configuration and logs
     * @param number index among the {@code fleetSize} proxies
     * @param discoveryOnRequest whether discovery must be asked for changes instead of pushing them
     */
    ProxyInstance(Path root, Path workingDirectory, int number, int fleetSize, boolean discoveryOnRequest,
            InetSocketAddress discovery, FaultShim shim) throws IOException {
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
     * Returns a free port at a loopback address that no other proxy uses. At 127.0.0.1 an outgoing connection
     * of another process could take the port while this proxy is down.
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

    /** Whether clients may open new connections to it. */
    boolean isAccepting() {
        return accepting;
    }

    /** Time of the last kill, as of {@link System#nanoTime}; {@link Long#MIN_VALUE} if there was none. */
    long killedNs() {
        return killedNs;
    }

    FaultShim shim() {
        return shim;
    }

    /** Sets the list of servers that the configuration contains, in the JSON format of discovery. */
    void setInitialEndpoints(List<Map<String, Object>> endpoints) {
        initialEndpoints = endpoints;
    }

    /** Starts a process; {@link #awaitReady} waits until it serves. */
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

    /**
     * Waits until the proxy is ready for clients; returns false if the process ends or the time-out expires
     * first.
     */
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

    /** Writes another address of discovery to the configuration and has the proxy reload it with SIGHUP. */
    void changeDiscovery(InetSocketAddress newDiscovery) throws IOException, InterruptedException {
        discovery = newDiscovery;
        writeConfig();
        signal("HUP");
    }

    /** Stops clients from opening new connections, like a front-end that has disabled this proxy. */
    void stopNewConnections() {
        accepting = false;
    }

    /** Sends a signal to the process, by its name without SIG. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process with SIGKILL if it still runs, and waits for its end. */
    void kill() throws InterruptedException {
        accepting = false;
        killedNs = System.nanoTime();
        process.destroyForcibly().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the output of all its processes so far. */
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
