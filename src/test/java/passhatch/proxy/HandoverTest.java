package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** State that two processes of one proxy share through files; here both run in one JVM. */
@Timeout(60)
final class HandoverTest {

    @TempDir
    Path folder;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2,
            NioIoHandler.newFactory());
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Stands for one process: its event loop, and the state and notifications that it receives. */
    private final class ProxyStub implements Handover.Listener {
        final EventLoop loop = group.next();
        final BlockingQueue<SharedState> states = new LinkedBlockingQueue<>();
        final BlockingQueue<Boolean> alone = new LinkedBlockingQueue<>();
        final Handover handover;

        ProxyStub(Path path) throws Exception {
            EventLog eventLog = new EventLog(new PrintStream(log, true, StandardCharsets.UTF_8));
            handover = loop.submit(() -> new Handover(loop, eventLog, path, "n/0", this)).get();
        }

        @Override
        public void stateChanged(SharedState state) {
            states.add(state);
        }

        @Override
        public void aloneChanged(boolean isAlone) {
            alone.add(isAlone);
        }

        boolean setDisabled(String id, boolean disabled) throws Exception {
            CompletableFuture<Boolean> result = new CompletableFuture<>();
            loop.execute(() -> handover.change(state -> state.withDisabled(id, disabled), result::complete));
            return result.get(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        SharedState awaitState() throws Exception {
            return states.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        boolean hasSuccessor() throws Exception {
            return loop.submit(handover::hasSuccessor).get();
        }

        void close() throws Exception {
            loop.submit(handover::close).get();
        }
    }

    private Path stateFile() {
        return folder.resolve("passhatch-n%2F0-state.json");
    }

    @Test
    void stateOutlivesTheProcess() throws Exception {
        ProxyStub first = new ProxyStub(folder);
        assertTrue(first.setDisabled("a", true));
        assertTrue(first.setDisabled("b", true));
        assertTrue(first.setDisabled("a", false));
        first.close();
        ProxyStub second = new ProxyStub(folder);
        assertEquals(Set.of("b"), second.awaitState().disabledBackends());
        second.close();
    }

    /** Guards against confirming a change to an operator before the other process has applied it. */
    @Test
    void changeIsAppliedByThePeerBeforeItIsConfirmed() throws Exception {
        ProxyStub first = new ProxyStub(folder);
        ProxyStub second = new ProxyStub(folder);
        assertTrue(first.setDisabled("a", true));
        assertEquals(Set.of("a"), second.states.poll().disabledBackends());
        assertTrue(second.setDisabled("b", true));
        assertEquals(Set.of("a"), first.states.poll().disabledBackends());
        assertEquals(Set.of("a", "b"), first.states.poll().disabledBackends());
        first.close();
        second.close();
    }

    @Test
    void aSuccessorIsOneThatStartedLaterAndServes() throws Exception {
        ProxyStub first = new ProxyStub(folder);
        assertFalse(first.hasSuccessor());
        // Start times are compared in milliseconds, so the second process must start in a later millisecond.
        long startedMs = System.currentTimeMillis();
        while (System.currentTimeMillis() <= startedMs) {
            Thread.onSpinWait();
        }
        ProxyStub second = new ProxyStub(folder);
        assertFalse(first.hasSuccessor(), "the second process does not accept clients yet");
        second.loop.submit(() -> second.handover.setServing(true)).get();
        first.loop.submit(() -> first.handover.setServing(true)).get();
        assertTrue(first.hasSuccessor());
        assertFalse(second.hasSuccessor());
        assertFalse(first.alone.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        second.close();
        assertTrue(first.alone.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertFalse(first.hasSuccessor());
        first.close();
    }

    /** A killed process leaves its liveness file, but not the lock on it. */
    @Test
    void livenessFileOfADeadProcessIsDeleted() throws Exception {
        Path livenessFile = folder.resolve("passhatch-n%2F0-dead.life");
        Path statusFile = folder.resolve("passhatch-n%2F0-dead.json");
        Files.writeString(livenessFile, "");
        Files.writeString(statusFile, "{\"startedMs\":99999999999999,\"serving\":true,\"follows\":0}");
        ProxyStub proxy = new ProxyStub(folder);
        assertFalse(proxy.hasSuccessor());
        assertNull(proxy.alone.poll());
        assertFalse(Files.exists(livenessFile) || Files.exists(statusFile));
        proxy.close();
    }

    @Test
    void unreadableStateIsLoggedAndIgnored() throws Exception {
        for (String malformed : List.of("", "{\"version\":3,\"out\":[\"a\"",
                "{\"version\":3,\"out\":[1]}", "[]", "\u0000\u0001")) {
            Files.writeString(stateFile(), malformed);
            log.reset();
            ProxyStub proxy = new ProxyStub(folder);
            assertNull(proxy.states.poll());
            assertTrue(log.toString(StandardCharsets.UTF_8).contains("cannot be read"), malformed);
            assertTrue(proxy.setDisabled("a", true));
            assertEquals(Set.of("a"), SharedState.fromJson(Files.readString(stateFile())).disabledBackends());
            proxy.close();
        }
    }

    /**
     * Guards against losing the state when its file is corrupted while a process is running: the process
     * keeps its state and writes the file again for its successor.
     */
    @Test
    void appliedStateReplacesACorruptFile() throws Exception {
        ProxyStub first = new ProxyStub(folder);
        assertTrue(first.setDisabled("a", true));
        Files.writeString(stateFile(), "{");
        first.hasSuccessor();
        ProxyStub second = new ProxyStub(folder);
        assertEquals(Set.of("a"), second.awaitState().disabledBackends());
        assertTrue(second.setDisabled("b", true));
        assertEquals(Set.of("a"), first.awaitState().disabledBackends());
        assertEquals(Set.of("a", "b"), first.awaitState().disabledBackends());
        first.close();
        second.close();
    }

    /** A process may be killed while it writes; a temporary file that was not renamed must not be read. */
    @Test
    void partlyWrittenFileIsNotRead() throws Exception {
        ProxyStub first = new ProxyStub(folder);
        assertTrue(first.setDisabled("a", true));
        first.close();
        Files.writeString(folder.resolve("passhatch-n%2F0-dead.tmp"), "{\"version\":9,\"out\":[");
        ProxyStub second = new ProxyStub(folder);
        assertEquals(Set.of("a"), second.awaitState().disabledBackends());
        second.close();
    }

    @Test
    void changeThatCannotBeStoredIsNotApplied() throws Exception {
        ProxyStub proxy = new ProxyStub(folder);
        Files.createDirectories(stateFile().resolve("in the way"));
        assertFalse(proxy.setDisabled("a", true));
        assertNull(proxy.states.poll());
        proxy.close();
    }

    @Test
    void changeAppliesToThisProcessWithoutAStateDirectory() throws Exception {
        for (Path unusable : new Path[] {null, folder.resolve("missing")}) {
            ProxyStub proxy = new ProxyStub(unusable);
            assertTrue(proxy.setDisabled("a", true));
            assertEquals(Set.of("a"), proxy.awaitState().disabledBackends());
            assertFalse(proxy.hasSuccessor());
            proxy.close();
        }
    }

    /** Includes names of which one is a prefix of the other. */
    @ParameterizedTest
    @ValueSource(strings = {"n1", "n", "n/0-b", "n/0-"})
    void proxiesOfOtherNamesAreNotPeers(String name) throws Exception {
        ProxyStub proxy = new ProxyStub(folder);
        try (StateDirectory otherName = new StateDirectory(folder, name);
                StateDirectory sameName = new StateDirectory(folder, "n/0")) {
            assertTrue(otherName.peers().isEmpty());
            assertEquals(1, sameName.peers().size(), "only the process with the same name");
            assertTrue(proxy.setDisabled("a", true));
            assertNull(otherName.readState());
        }
        proxy.close();
    }
}
