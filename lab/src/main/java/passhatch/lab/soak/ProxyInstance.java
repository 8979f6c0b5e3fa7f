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
    static final String MODEL = "m";
    static final Duration DRAIN_GRACE = Duration.ofMillis(2_500);
    private static final int SOCKETS = 256;
    private static final int POLL_MS = 20;
    private static final long MICROS = 1_000;

    private final Path root;
    private final Path folder;
    private final int number;
    private final int fleet;
    private final boolean asked;
    private final InetSocketAddress address;
    private final FaultShim shim;
    private List<Map<String, Object>> known = List.of();
    private InetSocketAddress discovery;
    private Process process;
    private int starts;
    private volatile boolean accepting;
    /** When it was last killed, as {@link System#nanoTime}; what it held then is not its loss. */
    private volatile long killedNs = Long.MIN_VALUE;

    /**
     * Describes one; nothing is started.
     *
     * @param root the project's folder, with the service built
     * @param folder where its configuration and logs go
     * @param number among the {@code fleet} proxies
     * @param asked whether discovery has to be asked for changes
     */
    ProxyInstance(Path root, Path folder, int number, int fleet, boolean asked, InetSocketAddress discovery,
            FaultShim shim) throws IOException {
        this.root = root;
        this.folder = folder;
        this.number = number;
        this.fleet = fleet;
        this.asked = asked;
        this.discovery = discovery;
        this.shim = shim;
        this.address = freeAddress(number);
    }

    /**
     * A free port at a loopback address of its own: at the usual one a connection of another process might
     * take the port while this proxy is down.
     */
    private static InetSocketAddress freeAddress(int number) throws IOException {
        InetAddress own = InetAddress.getByAddress(new byte[] {127, 1, (byte) (number >> 7),
                (byte) (1 + number % 128)});
        try (ServerSocket free = new ServerSocket(0, 1, own)) {
            return (InetSocketAddress) free.getLocalSocketAddress();
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
    void knows(List<Map<String, Object>> endpoints) {
        known = endpoints;
    }

    /** Starts its process; {@link #awaitReady} tells when it serves. */
    void start() throws IOException {
        writeConfig();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", DeployFile.runCommand(root));
        builder.environment().putAll(Map.of("PROXY_NAME", "n" + number, "PROXY_LISTEN", text(address),
                "PROXY_DISCOVERY", text(discovery), "PROXY_CONFIG", config().toString(),
                "TMPDIR", folder.toString()));
        shim.addTo(builder.environment());
        process = builder.directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(folder.resolve("n" + number + "." + ++starts + ".log").toFile()).start();
    }

    /** Waits until clients may come; false where that took longer, or it ended. */
    boolean awaitReady(Duration most) throws InterruptedException {
        long end = System.nanoTime() + most.toNanos();
        while (process.isAlive() && System.nanoTime() < end) {
            if (saysReady()) {
                accepting = true;
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return false;
    }

    private boolean saysReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, POLL_MS * 10);
            socket.setSoTimeout(POLL_MS * 50);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII)
                    .endsWith("200");
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Moves it to another address of discovery with SIGHUP. */
    void moveTo(InetSocketAddress other) throws IOException, InterruptedException {
        discovery = other;
        writeConfig();
        signal("HUP");
    }

    /** From now on clients open no new connections, as a front that takes it out. */
    void sendNoNewClients() {
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
        for (int i = 1; i <= starts; i++) {
            all.append(Files.readString(folder.resolve("n" + number + "." + i + ".log")));
        }
        return all.toString();
    }

    private Path config() {
        return folder.resolve("n" + number + ".json");
    }

    private void writeConfig() throws IOException {
        Map<String, Object> limits = Map.of("maxAttempts", 3, "cancel", true, "mayDuplicate", true,
                "probes", false, "retryAfter", false, "maxRetryAfterUs", 0, "maxStreams", 1,
                "keepaliveUs", 5_000_000, "connectTimeoutUs", 250_000);
        Map<String, Object> rules = Map.of("drainGraceUs", DRAIN_GRACE.toNanos() / MICROS,
                "askEveryUs", 10_000_000, "coldFrom", 0.4, "coldUs", 3_000_000, "tipMultiple", 3,
                "overloadForUs", 2_000_000);
        List<Map<String, Object>> classes = Arrays.stream(RequestKind.values())
                .map(RequestKind::settings).toList();
        Map<String, Object> settings = new HashMap<>(Map.of("categories", classes, "tenants", List.of(),
                "dcs", List.of(ZONE), "machineTypes", List.of(MODEL), "balancers", fleet, "me", number,
                "discovery", asked ? "on_request" : "pushed", "limits", limits, "rules", rules));
        Path written = folder.resolve("n" + number + ".json.new");
        Files.writeString(written, JSON.std.asString(Map.of("seed", String.format("%016x", number + 1),
                "discovery", text(discovery), "limits", Map.of("sockets", SOCKETS), "settings", settings,
                "known", Map.of("index", 0, "snapshot", true, "endpoints", known))));
        Files.move(written, config(), StandardCopyOption.ATOMIC_MOVE);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
