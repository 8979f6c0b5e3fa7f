package passhatch.lab.latency;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Assigns separate cores to proxy, backends and load, out of the cores that this process may use: one for the
 * proxy, one for the backends, the others for the load. With two cores the load shares one with the backends;
 * with one core, or without the taskset command, nothing is pinned.
 */
final class CoreAssignment {

    private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
    private static final String ALLOWED_CORES_FIELD = "Cpus_allowed_list:";

    private final List<Integer> allowedCores;

    private CoreAssignment(List<Integer> allowedCores) {
        this.allowedCores = allowedCores;
    }

    /**
     * Reads the cores that this process may use; the result pins nothing if they or taskset are not
     * available.
     */
    static CoreAssignment detect() throws IOException, InterruptedException {
        if (!Files.isReadable(PROCESS_STATUS) || !hasTaskset()) {
            return new CoreAssignment(List.of());
        }
        try (var lines = Files.lines(PROCESS_STATUS)) {
            return new CoreAssignment(lines.filter(line -> line.startsWith(ALLOWED_CORES_FIELD)).findFirst()
                    .map(line -> parse(line.substring(ALLOWED_CORES_FIELD.length()).strip()))
                    .orElse(List.of()));
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

    /** Parses a list of cores such as 0-3,6. */
    static List<Integer> parse(String text) {
        List<Integer> cores = new ArrayList<>();
        for (String range : text.split(",")) {
            String[] bounds = range.split("-");
            IntStream.rangeClosed(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1]))
                    .forEach(cores::add);
        }
        return cores;
    }

    private boolean isPinning() {
        return allowedCores.size() > 1;
    }

    private String proxyCore() {
        return allowedCores.get(0).toString();
    }

    private String backendsCore() {
        return allowedCores.get(1).toString();
    }

    private String loadCores() {
        return allowedCores.size() == 2 ? backendsCore()
                : formatList(allowedCores.subList(2, allowedCores.size()));
    }

    /** Returns the command that runs the given one on the proxy's core. */
    List<String> onProxyCore(List<String> command) {
        return pinnedCommand(command, isPinning() ? proxyCore() : null);
    }

    /** Returns the command that runs the given one on the backends' core. */
    List<String> onBackendsCore(List<String> command) {
        return pinnedCommand(command, isPinning() ? backendsCore() : null);
    }

    private static List<String> pinnedCommand(List<String> command, String core) {
        if (core == null) {
            return command;
        }
        List<String> pinned = new ArrayList<>(List.of("taskset", "-c", core));
        pinned.addAll(command);
        return pinned;
    }

    /** Pins this process, which generates the load, to the cores of the load. */
    void pinLoad() throws IOException {
        if (isPinning()) {
            pinThisProcess(loadCores());
        }
    }

    /** Lets this process use all its allowed cores again. */
    void unpinLoad() throws IOException {
        if (isPinning()) {
            pinThisProcess(formatList(allowedCores));
        }
    }

    private static void pinThisProcess(String cores) throws IOException {
        Process taskset = new ProcessBuilder("taskset", "-a", "-c", "-p", cores,
                Long.toString(ProcessHandle.current().pid()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectErrorStream(true).start();
        if (taskset.onExit().join().exitValue() != 0) {
            throw new IOException("taskset could not pin this process to cores " + cores);
        }
    }

    private static String formatList(List<Integer> cores) {
        return cores.stream().map(String::valueOf).collect(Collectors.joining(","));
    }

    @Override
    public String toString() {
        return isPinning() ? "proxy on " + proxyCore() + ", backends on " + backendsCore() + ", load on "
                + loadCores()
                : "nothing is pinned";
    }
}
