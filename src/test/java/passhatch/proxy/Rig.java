package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import passhatch.proxy.HttpTestConnection.Message;

/** Test fixture: a proxy with its configuration, its clock and a scripted discovery service. */
final class Rig implements Closeable {

    private final Map<String, Object> limits = new HashMap<>(Map.of("maxAttempts", 3, "cancel", true,
            "mayDuplicate", true, "probes", false, "retryAfter", true, "maxRetryAfterUs", 2_000_000,
            "maxStreams", 1, "keepaliveUs", 10_000_000, "connectTimeoutUs", 8_000_000));
    private final List<Closeable> resources = new ArrayList<>();
    /** Lines that discovery sends next, each a list of backends in JSON or one of the constants here. */
    final BlockingQueue<String> discoveryLines = new LinkedBlockingQueue<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final Path folder;
    private final ScriptedServer discovery;
    private final Map<String, String> configReplacements = new LinkedHashMap<>();
    private int latencyGoalUs = 9_000_000;
    private int maxSockets = 256;
    private String configuredDiscovery;
    private String console;
    private ProxyServer proxy;
    /** Nanoseconds by which the proxy's clock is ahead; its timers still follow the system's clock. */
    private final AtomicLong clockOffsetNs = new AtomicLong();
    /** Time in nanoseconds at which the proxy's clock is frozen until a test advances it; 0 if it runs. */
    private volatile long frozenAtNs;
    private ProxyServer.ModuleFactory module = passhatch.LeastLoadedBalancer::new;
    private ProxyMemory memory = ProxyMemory.ofHeap(Runtime.getRuntime().maxMemory());
    /** Counted down if the event loop ends without having been asked to. */
    final CountDownLatch loopFailure = new CountDownLatch(1);

    /** An entry of {@link #discoveryLines} that ends the watch with a reset. */
    static final String END_OF_WATCH = "end";
    /** An entry that answers the next watch with 410, because its version is no longer known. */
    static final String EXPIRED_VERSION = "forgotten";

    Rig(Path folder) throws IOException {
        this.folder = folder;
        this.discovery = new ScriptedServer((connection, request) -> {
            if (!request.startLine().contains("watch=1")) {
                connection.respond("200 OK", discoveryLines.take());
                return;
            }
            if (EXPIRED_VERSION.equals(discoveryLines.peek())) {
                discoveryLines.take();
                connection.respond("410 Gone", "");
                return;
            }
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (String line = discoveryLines.take(); !line.equals(END_OF_WATCH);
                    line = discoveryLines.take()) {
                String text = line + "\n";
                connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            connection.reset();
        });
        resources.add(discovery);
        configuredDiscovery = "127.0.0.1:" + discovery.address().getPort();
    }

    /** Sets the memory budgets of the proxy. */
    Rig memory(ProxyMemory budgets) {
        memory = budgets;
        return this;
    }

    /** Replaces a text in the configuration; writing the configuration fails if it does not occur. */
    Rig replaceInConfig(String text, String replacement) {
        configReplacements.put(text, replacement);
        return this;
    }

    Rig limit(String name, Object value) {
        limits.put(name, value);
        return this;
    }

    Rig maxSockets(int count) {
        maxSockets = count;
        return this;
    }

    Rig console(String address) {
        console = address;
        return this;
    }

    Rig latencyGoalUs(int goalUs) {
        latencyGoalUs = goalUs;
        return this;
    }

    Rig module(ProxyServer.ModuleFactory newModule) {
        module = newModule;
        return this;
    }

    ScriptedServer discovery() {
        return discovery;
    }

    ScriptedServer backend(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        return server;
    }

    /** An entry of a list of backends, in JSON. */
    static String entry(String name, InetSocketAddress address, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + address.getPort()
                + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }

    /**
     * A list from discovery, in JSON.
     *
     * @param index version of the list
     * @param snapshot true for a full list, false for changes
     */
    static String list(int index, boolean snapshot, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                + String.join(",", entries) + "]}";
    }

    /** Writes a configuration that names another address of discovery; returns the environment. */
    Map<String, String> environmentWithDiscovery(String address) throws IOException {
        configuredDiscovery = address;
        return environment();
    }

    /** Writes the configuration, with an empty cached list, and returns the environment of a proxy. */
    Map<String, String> environment() throws IOException {
        Path file = folder.resolve("config.json");
        Map<String, Object> config = new HashMap<>(Map.of("seed", "00000000000000ff",
                "discovery", configuredDiscovery,
                "limits", Map.of("sockets", maxSockets), "known", JSON.std.mapFrom(list(7, true)), "settings",
                Map.of("categories", List.of(requestClass("board", "pure"), requestClass("buy", "token"),
                        requestClass("move", "side_effect")),
                        "tenants", List.of(Map.of("name", "acme", "quotaPerS", 0)), "dcs", List.of("a"),
                        "machineTypes", List.of("m"), "balancers", 1, "discovery", "pushed",
                        "limits", limits, "rules", Map.of("drainGraceUs", 2_000_000, "coldFrom", 0.4,
                                "coldUs", 1_000_000, "tipMultiple", 2.5, "overloadForUs", 1_000_000))));
        if (console != null) {
            config.put("console", console);
        }
        String text = JSON.std.asString(config);
        for (Map.Entry<String, String> replacement : configReplacements.entrySet()) {
            if (!text.contains(replacement.getKey())) {
                throw new IllegalArgumentException(replacement.getKey() + " is not in " + text);
            }
            text = text.replace(replacement.getKey(), replacement.getValue());
        }
        Files.writeString(file, text);
        return Map.of("PROXY_NAME", "n0", "PROXY_LISTEN", "127.0.0.1:0", "PROXY_DISCOVERY",
                "127.0.0.1:" + discovery.address().getPort(), "PROXY_CONFIG", file.toString());
    }

    private Map<String, Object> requestClass(String name, String effect) {
        return Map.of("name", name, "effect", effect, "goalTimeUs", latencyGoalUs, "deadlineUs", 10_000_000,
                "worth", 1, "dedupWindowUs", 9_000_000, "group", "all");
    }

    /** Starts the proxy and waits until it has received a list with the entries. */
    Rig start(String... entries) throws Exception {
        discoveryLines.add(list(8, true, entries));
        return start(environment());
    }

    /** Starts the proxy with another discovery service and waits until it has received a list from it. */
    Rig startWithDiscovery(InetSocketAddress discoveryAddress) throws Exception {
        Map<String, String> environment = new HashMap<>(environment());
        environment.put("PROXY_DISCOVERY", "127.0.0.1:" + discoveryAddress.getPort());
        return start(environment);
    }

    /** Starts the proxy with another discovery service without waiting for a list. */
    Rig startWithoutList(InetSocketAddress discoveryAddress) throws Exception {
        Map<String, String> environment = new HashMap<>(environment());
        environment.put("PROXY_DISCOVERY", "127.0.0.1:" + discoveryAddress.getPort());
        return launch(environment);
    }

    private Rig start(Map<String, String> environment) throws Exception {
        launch(environment);
        awaitReady(proxy.address());
        return this;
    }

    private Rig launch(Map<String, String> environment) throws Exception {
        proxy = ProxyServer.start(ProxyConfig.read(environment),
                new EventLog(new PrintStream(log, true, StandardCharsets.UTF_8)), module,
                new Clock(() -> (frozenAtNs == 0 ? System.nanoTime() : frozenAtNs) + clockOffsetNs.get()),
                memory, loopFailure::countDown);
        return this;
    }

    /** Waits until the proxy at the address answers its readiness check with 200. */
    static void awaitReady(InetSocketAddress address) throws IOException, InterruptedException {
        long endNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        while (System.nanoTime() < endNs) {
            try (HttpTestConnection client = HttpTestConnection.connect(address)) {
                client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
                if (client.read().status() == 200) {
                    return;
                }
            }
            Thread.sleep(5);
        }
        throw new AssertionError("the proxy did not become ready in time");
    }

    /** Waits until the proxy's log contains the text. */
    void awaitLog(String text) throws InterruptedException {
        long endNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        while (!log.toString(StandardCharsets.UTF_8).contains(text)) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("the proxy's log did not contain '" + text + "' in time: " + log);
            }
            Thread.sleep(5);
        }
    }

    /** Freezes the proxy's clock, so that only {@link #advanceClock} moves it. */
    Rig freezeClock() {
        frozenAtNs = System.nanoTime();
        return this;
    }

    /** Advances the proxy's clock, as if its event loop had been idle meanwhile. */
    void advanceClock(long ms) {
        clockOffsetNs.addAndGet(ms * 1_000_000);
    }

    ProxyServer proxy() {
        return proxy;
    }

    /** Opens a connection to the proxy, which is closed at the end of the test. */
    HttpTestConnection client() throws IOException {
        HttpTestConnection client = HttpTestConnection.connect(proxy.address());
        resources.add(client);
        return client;
    }

    static String get(String id, String extraHeaders) {
        return "GET /board/7?x=1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\n" + extraHeaders + "\r\n";
    }

    static String post(String path, String id, String extraHeaders) {
        return "POST " + path + " HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\nX-Request-Id: " + id + "\r\n"
                + extraHeaders + "\r\n";
    }

    /** Sends one request on a new connection and returns the response. */
    Message call(String request) throws IOException {
        try (HttpTestConnection client = HttpTestConnection.connect(proxy.address())) {
            client.write(request);
            return client.read();
        }
    }

    private boolean hasEnded() {
        try {
            return proxy.awaitTermination(0);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (proxy != null && !hasEnded() && loopFailure.getCount() > 0) {
            proxy.terminateNow();
        }
        for (Closeable resource : resources) {
            resource.close();
        }
    }
}
