package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The run of a proxy at build time whose classes are archived, and what a start must not load or initialize.
 */
@Timeout(60)
final class RehearsalTest {

    @TempDir
    Path folder;

    @Test
    void servesItsRequestsAndTerminates() throws Exception {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(0, Rehearsal.run(new PrintStream(errors, true, StandardCharsets.UTF_8)),
                () -> errors.toString(StandardCharsets.UTF_8));
    }

    /**
     * Without the archive a proxy loads its classes from the jar, and its start takes twice as long as the
     * time within which its backend reports errors.
     */
    @Test
    void buildCreatesTheArchiveThatTheRunCommandUses() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("deploy/balancer.toml"));
        String build = lines.stream().filter(l -> l.startsWith("build = ")).findFirst().orElseThrow();
        String run = lines.stream().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
        String option = "-XX:SharedArchiveFile=";
        assertTrue(run.contains(option), run);
        String archive = run.substring(run.indexOf(option) + option.length()).split(" ")[0];
        assertTrue(build.contains("-XX:ArchiveClassesAtExit=" + archive + " "), build);
    }

    /** The archive must contain the proxy's own classes, so that a start reads none of them from the jar. */
    @Test
    void archiveHoldsTheNetworkCodeAndTheModule() throws Exception {
        Path jar = folder.resolve("passhatch.jar");
        Process jarProcess = new ProcessBuilder(tool("jar"), "--create", "--file", jar.toString(), "-C",
                "target/classes", ".").inheritIO().start();
        assertTrue(jarProcess.waitFor(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        String classPath = jar + System.getProperty("path.separator") + System.getProperty("java.class.path");
        Path archive = folder.resolve("classes.jsa");
        Process rehearsal = new ProcessBuilder(tool("java"), "-XX:ArchiveClassesAtExit=" + archive,
                "-Xlog:class+load:file=" + folder.resolve("loaded"), "-cp", jarsOnly(classPath),
                "passhatch.adapter.Main", "rehearse").inheritIO().start();
        assertTrue(rehearsal.waitFor(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, rehearsal.exitValue());
        assertTrue(Files.size(archive) > 0);
        String loaded = Files.readString(folder.resolve("loaded"));
        for (String name : List.of("LeastLoadedBalancer", "proxy.ProxyLoop", "proxy.BackendPool",
                "proxy.ClientServer", "proxy.Discovery", "proxy.HangUpSignal")) {
            assertTrue(loaded.contains(" passhatch." + name + " "), name + " is not loaded by the rehearsal");
        }
    }

    /**
     * Netty's events would initialize the flight recorder with the first buffer, which takes a third of the
     * processor time of a start.
     */
    @Test
    void flightRecorderIsNotInitialized() throws Exception {
        String loaded = loadedByRehearsal();
        assertTrue(loaded.contains(" io.netty.buffer.AdaptivePoolingAllocator "), "no buffer was allocated");
        assertFalse(loaded.contains(" jdk.jfr.internal.MetadataLoader "),
                "the flight recorder is initialized");
    }

    /** Otherwise the JVM generates code for each shape of concatenation at run time, at its first use. */
    @Test
    void stringConcatenationIsCompiledInline() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("target/classes"))) {
            List<Path> classes = files.filter(f -> f.toString().endsWith(".class")).toList();
            assertFalse(classes.isEmpty());
            for (Path file : classes) {
                assertFalse(Files.readString(file, StandardCharsets.ISO_8859_1)
                        .contains("makeConcatWithConstants"), file.toString());
            }
        }
    }

    /** Security providers take a tenth of a start, and the random id of a process needs no secrecy. */
    @Test
    void securityProvidersAreNotInitialized() throws Exception {
        assertFalse(loadedByRehearsal().contains(" sun.security.provider.NativePRNG "));
    }

    /** The default hash code of a record would be generated at run time, with the first list of backends. */
    @Test
    void recordMethodsAreNotGeneratedAtRunTime() throws Exception {
        assertFalse(loadedByRehearsal().contains(" java.lang.runtime.ObjectMethods "));
    }

    /** The JVM's log of the classes that a rehearsal loads; each name has a blank on either side. */
    private String loadedByRehearsal() throws Exception {
        Path log = folder.resolve("loaded");
        Process rehearsal = new ProcessBuilder(tool("java"), "-Xlog:class+load:file=" + log, "-cp",
                System.getProperty("java.class.path"), "passhatch.adapter.Main", "rehearse").inheritIO()
                .start();
        assertTrue(rehearsal.waitFor(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, rehearsal.exitValue());
        return Files.readString(log);
    }

    private static String tool(String name) {
        return Path.of(System.getProperty("java.home"), "bin", name).toString();
    }

    /** The jars of a class path; the JVM archives classes from jars only. */
    private static String jarsOnly(String classPath) {
        return String.join(System.getProperty("path.separator"),
                List.of(classPath.split(System.getProperty("path.separator"))).stream()
                        .filter(p -> p.endsWith(".jar")).toList());
    }
}
