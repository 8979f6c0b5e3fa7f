package passhatch.lab.latency;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Keeps proxy, backends and load on cores apart, out of those that this process may use: one for the proxy,
 * one for the backends, the rest for the load. With two the load shares with the backends; with one, or
 * without taskset, nothing is pinned.
 */
final class Cores {

    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String ALLOWED = "Cpus_allowed_list:";

    private final List<Integer> allowed;

    private Cores(List<Integer> allowed) {
        this.allowed = allowed;
    }

    static Cores allowed() throws IOException, InterruptedException {
        if (!Files.isReadable(STATUS) || !hasTaskset()) {
            return new Cores(List.of());
        }
        try (var lines = Files.lines(STATUS)) {
            return new Cores(lines.filter(line -> line.startsWith(ALLOWED)).findFirst()
                    .map(line -> parse(line.substring(ALLOWED.length()).strip())).orElse(List.of()));
        }
    }

    private static boolean hasTaskset() throws InterruptedException {
        try {
            return new ProcessBuilder("taskset", "--version").redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor() == 0;
        } catch (IOException missing) {
            return false;
        }
    }

    /** Reads a list such as 0-3,6. */
    static List<Integer> parse(String text) {
        List<Integer> cores = new ArrayList<>();
        for (String part : text.split(",")) {
            String[] ends = part.split("-");
            IntStream.rangeClosed(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]))
                    .forEach(cores::add);
        }
        return cores;
    }

    private boolean pins() {
        return allowed.size() > 1;
    }

    private String proxy() {
        return allowed.get(0).toString();
    }

    private String backends() {
        return allowed.get(1).toString();
    }

    private String load() {
        return allowed.size() == 2 ? backends() : list(allowed.subList(2, allowed.size()));
    }

    /** The command on the proxy's core. */
    List<String> onProxys(List<String> command) {
        return pinned(command, pins() ? proxy() : null);
    }

    /** The command on the backends' core. */
    List<String> onBackends(List<String> command) {
        return pinned(command, pins() ? backends() : null);
    }

    private static List<String> pinned(List<String> command, String core) {
        if (core == null) {
            return command;
        }
        List<String> pinned = new ArrayList<>(List.of("taskset", "-c", core));
        pinned.addAll(command);
        return pinned;
    }

    /** Keeps this process, which is the load, to its own cores. */
    void keepLoadApart() throws IOException {
        if (pins()) {
            pinThisProcess(load());
        }
    }

    /** Lets this process use all its cores again. */
    void release() throws IOException {
        if (pins()) {
            pinThisProcess(list(allowed));
        }
    }

    private static void pinThisProcess(String cores) throws IOException {
        Process taskset = new ProcessBuilder("taskset", "-a", "-c", "-p", cores,
                Long.toString(ProcessHandle.current().pid()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectErrorStream(true).start();
        if (taskset.onExit().join().exitValue() != 0) {
            throw new IOException("taskset could not pin this process to " + cores);
        }
    }

    private static String list(List<Integer> cores) {
        return cores.stream().map(String::valueOf).collect(Collectors.joining(","));
    }

    @Override
    public String toString() {
        return pins() ? "proxy on " + proxy() + ", backends on " + backends() + ", load on " + load()
                : "nothing is pinned";
    }
}
