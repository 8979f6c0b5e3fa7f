package passhatch.lab.latency;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Runs {@link StubBackends} in a child process, which ends when this process does. */
final class BackendProcess implements Closeable {

    private final Process process;
    private final List<InetSocketAddress> addresses;

    /** Starts a process with {@code count} backends and waits until they listen. */
    BackendProcess(int count, CoreAssignment cores) throws IOException {
        process = new ProcessBuilder(cores.onBackendsCore(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-Xmx64m", "-cp", System.getProperty("java.class.path"), StubBackends.class.getName(),
                Integer.toString(count)))).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        String ports = output.readLine();
        if (ports == null) {
            throw new IOException("the backend process ended before it printed its ports");
        }
        addresses = Arrays.stream(ports.split(" ")).map(port -> new InetSocketAddress(
                InetAddress.getLoopbackAddress(), Integer.parseInt(port))).toList();
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    @Override
    public void close() {
        process.destroy();
    }
}
