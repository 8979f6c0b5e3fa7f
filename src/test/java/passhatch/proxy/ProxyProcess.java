package passhatch.proxy;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A proxy in its own process, for tests that need signals, a kill or a limit on descriptors. */
final class ProxyProcess implements Closeable {

    final Process process;
    final InetSocketAddress address;
    private final BufferedReader log;

    /** Starts a proxy with the environment on a free port and waits until it is ready. */
    ProxyProcess(Map<String, String> environment) throws IOException, InterruptedException {
        this(environment, "");
    }

    /** Starts a proxy on a free port from a shell that runs a command first, and waits until it is ready. */
    ProxyProcess(Map<String, String> environment, String shellPrefix)
            throws IOException, InterruptedException {
        this(environment, freeAddress(), shellPrefix);
        awaitReady();
    }

    /** Waits until the proxy listens and is ready for clients. */
    void awaitReady() throws IOException, InterruptedException {
        while (!isListening()) {
            Thread.sleep(10);
        }
        Rig.awaitReady(address);
    }

    /** Starts a proxy on an address that another process may also use, without waiting for it. */
    ProxyProcess(Map<String, String> environment, InetSocketAddress address) throws IOException {
        this(environment, address, "");
    }

    /** Starts a proxy that may have at most so many descriptors open, without waiting for it. */
    ProxyProcess(Map<String, String> environment, InetSocketAddress address, int maxDescriptors)
            throws IOException {
        this(environment, address, "ulimit -n " + maxDescriptors + "; ");
    }

    private ProxyProcess(Map<String, String> environment, InetSocketAddress address, String shellPrefix)
            throws IOException {
        this.address = address;
        Map<String, String> env = new HashMap<>(environment);
        env.put("PROXY_LISTEN", "127.0.0.1:" + address.getPort());
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder("sh", "-c",
                shellPrefix + commandPrefix() + "\"$@\"", "sh", java, "-cp",
                System.getProperty("java.class.path"), "passhatch.adapter.Main", "serve");
        builder.environment().putAll(env);
        process = builder.start();
        log = process.errorReader(StandardCharsets.UTF_8);
    }

    /** The part of the production run command that comes before {@code java}. */
    private static String commandPrefix() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        return run.substring(run.indexOf('"') + 1, run.indexOf("java "));
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    /** Whether the proxy accepts connections. */
    boolean isListening() {
        try (HttpTestConnection connection = HttpTestConnection.connect(address)) {
            return connection.socket.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

    /** Sends the process a signal, such as {@code TERM}. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** Waits until the log has a line with the text. */
    void awaitLog(String text) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
        for (String line = ""; !line.contains(text);) {
            if (log.ready()) {
                line = log.readLine();
            } else if (!process.isAlive() || System.nanoTime() > deadlineNs) {
                throw new AssertionError("no log line with '" + text + "'; last line: " + line);
            } else {
                Thread.sleep(5);
            }
        }
    }

    /** Waits until the process has ended and returns its exit status. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the process did not end in time");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
