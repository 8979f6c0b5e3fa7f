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

/** A proxy in a process of its own, for what only a process can be sent. */
final class ProxyProcess implements Closeable {

    final Process process;
    final InetSocketAddress address;
    private final BufferedReader log;

    /** Starts it with the environment, on a free port, and waits until it is ready. */
    ProxyProcess(Map<String, String> environment) throws IOException, InterruptedException {
        this(environment, "");
    }

    /** The same from a shell that has run something before. */
    ProxyProcess(Map<String, String> environment, String shellPrefix)
            throws IOException, InterruptedException {
        this(environment, freeAddress(), shellPrefix);
        awaitReady();
    }

    void awaitReady() throws IOException, InterruptedException {
        while (!isListening()) {
            Thread.sleep(10);
        }
        Rig.awaitReady(address);
    }

    /** Starts it at an address that another may have, and waits for nothing. */
    ProxyProcess(Map<String, String> environment, InetSocketAddress address) throws IOException {
        this(environment, address, "");
    }

    /** The same, with no more than so many descriptors. */
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

    /** What the command that is used in service has before its java. */
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

    boolean isListening() {
        try (HttpTestConnection connection = HttpTestConnection.connect(address)) {
            return connection.socket.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

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
                throw new AssertionError("no line '" + text + "'; the last: " + line);
            } else {
                Thread.sleep(5);
            }
        }
    }

    int awaitExit() throws InterruptedException {
        if (!process.waitFor(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the process did not end");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
