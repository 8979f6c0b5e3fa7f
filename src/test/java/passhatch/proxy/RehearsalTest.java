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

/** The short life of a proxy whose classes are archived when the program is built. */
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

    /** A proxy that starts from the classes of the jar takes twice the time in which its backend errs. */
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

    /** The archive holds what a start needs: with it no class of the proxy's is read from elsewhere. */
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
            assertTrue(loaded.contains(" passhatch." + name + " "), name + " is not loaded in it");
        }
    }

    /** Netty's own events would set it up at the first buffer, for a third of a start's processor time. */
    @Test
    void flightRecorderIsNotInitialized() throws Exception {
        String loaded = loadedByRehearsal();
        assertTrue(loaded.contains(" io.netty.buffer.AdaptivePoolingAllocator "), "no buffer was made");
        assertFalse(loaded.contains(" jdk.jfr.internal.MetadataLoader "), "the flight recorder is set up");
    }

    /** Each shape of concatenation would be put together at run time, where it is first used. */
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

    /** They cost a tenth of a start, for a random id that needs no secrecy. */
    @Test
    void securityProvidersAreNotInitialized() throws Exception {
        assertFalse(loadedByRehearsal().contains(" sun.security.provider.NativePRNG "));
    }

    /** A record's own hash code is put together at run time, at the first list of backends. */
    @Test
    void recordMethodsAreNotGeneratedAtRunTime() throws Exception {
        assertFalse(loadedByRehearsal().contains(" java.lang.runtime.ObjectMethods "));
    }

    /** The names of the classes that a start and its first calls load, with a blank on either side. */
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

    /** An archive takes classes from jars alone. */
    private static String jarsOnly(String classPath) {
        return String.join(System.getProperty("path.separator"),
                List.of(classPath.split(System.getProperty("path.separator"))).stream()
                        .filter(p -> p.endsWith(".jar")).toList());
    }
}
