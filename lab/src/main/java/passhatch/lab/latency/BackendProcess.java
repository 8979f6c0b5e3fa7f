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

/** Stand-in backends in a process of their own, which ends with this one. */
final class BackendProcess implements Closeable {

    private final Process process;
    private final List<InetSocketAddress> addresses;

    BackendProcess(int count, CoreAssignment cores) throws IOException {
        process = new ProcessBuilder(cores.onBackendsCore(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-Xmx64m", "-cp", System.getProperty("java.class.path"), StubBackends.class.getName(),
                Integer.toString(count)))).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        String ports = output.readLine();
        if (ports == null) {
            throw new IOException("the backends did not start");
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
