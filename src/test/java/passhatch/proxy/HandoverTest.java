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

/** What two processes of one proxy know of each other by their files; here both stand in one. */
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

    /** One process, as far as this part of it goes. */
    private final class Side implements Handover.Listener {
        final EventLoop loop = group.next();
        final BlockingQueue<SharedState> states = new LinkedBlockingQueue<>();
        final BlockingQueue<Boolean> alone = new LinkedBlockingQueue<>();
        final Handover handover;

        Side(Path place) throws Exception {
            EventLog to = new EventLog(new PrintStream(log, true, StandardCharsets.UTF_8));
            handover = loop.submit(() -> new Handover(loop, to, place, "n/0", this)).get();
        }

        @Override
        public void set(SharedState state) {
            states.add(state);
        }

        @Override
        public void alone(boolean isAlone) {
            alone.add(isAlone);
        }

        boolean setOut(String id, boolean out) throws Exception {
            CompletableFuture<Boolean> done = new CompletableFuture<>();
            loop.execute(() -> handover.change(state -> state.withOut(id, out), done::complete));
            return done.get(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        SharedState next() throws Exception {
            return states.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        boolean hasSuccessor() throws Exception {
            return loop.submit(handover::hasSuccessor).get();
        }

        void close() throws Exception {
            loop.submit(handover::close).get();
        }
    }

    private Path state() {
        return folder.resolve("passhatch-n%2F0-state.json");
    }

    @Test
    void whatIsSetOutlivesTheProcess() throws Exception {
        Side first = new Side(folder);
        assertTrue(first.setOut("a", true));
        assertTrue(first.setOut("b", true));
        assertTrue(first.setOut("a", false));
        first.close();
        Side second = new Side(folder);
        assertEquals(Set.of("b"), second.next().out());
        second.close();
    }

    /** The yes comes no sooner than the other one follows. */
    @Test
    void whatIsSetAtOneHoldsAtTheOtherByTheYes() throws Exception {
        Side first = new Side(folder);
        Side second = new Side(folder);
        assertTrue(first.setOut("a", true));
        assertEquals(Set.of("a"), second.states.poll().out());
        assertTrue(second.setOut("b", true));
        assertEquals(Set.of("a"), first.states.poll().out());
        assertEquals(Set.of("a", "b"), first.states.poll().out());
        first.close();
        second.close();
    }

    @Test
    void aSuccessorIsOneThatStartedLaterAndServes() throws Exception {
        Side first = new Side(folder);
        assertFalse(first.hasSuccessor());
        // Starts are told apart by the millisecond.
        long startedMs = System.currentTimeMillis();
        while (System.currentTimeMillis() <= startedMs) {
            Thread.onSpinWait();
        }
        Side second = new Side(folder);
        assertFalse(first.hasSuccessor(), "it does not serve yet");
        second.loop.submit(() -> second.handover.serving(true)).get();
        first.loop.submit(() -> first.handover.serving(true)).get();
        assertTrue(first.hasSuccessor());
        assertFalse(second.hasSuccessor());
        assertFalse(first.alone.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        second.close();
        assertTrue(first.alone.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertFalse(first.hasSuccessor());
        first.close();
    }

    /** A process that was killed leaves its sign, but not the lock on it. */
    @Test
    void theSignOfADeadProcessIsClearedAway() throws Exception {
        Path sign = folder.resolve("passhatch-n%2F0-dead.life");
        Path shown = folder.resolve("passhatch-n%2F0-dead.json");
        Files.writeString(sign, "");
        Files.writeString(shown, "{\"startedMs\":99999999999999,\"serving\":true,\"follows\":0}");
        Side side = new Side(folder);
        assertFalse(side.hasSuccessor());
        assertNull(side.alone.poll());
        assertFalse(Files.exists(sign) || Files.exists(shown));
        side.close();
    }

    @Test
    void whatCannotBeReadIsSaidAndStopsNothing() throws Exception {
        for (String bad : List.of("", "{\"version\":3,\"out\":[\"a\"", "{\"version\":3,\"out\":[1]}", "[]",
                "\u0000\u0001")) {
            Files.writeString(state(), bad);
            log.reset();
            Side side = new Side(folder);
            assertNull(side.states.poll());
            assertTrue(log.toString(StandardCharsets.UTF_8).contains("cannot be read"), bad);
            assertTrue(side.setOut("a", true));
            assertEquals(Set.of("a"), SharedState.of(Files.readString(state())).out());
            side.close();
        }
    }

    /** A file that is spoilt while a process lives takes nothing from it, nor from its successor. */
    @Test
    void whatHoldsIsWrittenAgainOverWhatIsSpoilt() throws Exception {
        Side first = new Side(folder);
        assertTrue(first.setOut("a", true));
        Files.writeString(state(), "{");
        first.hasSuccessor();
        Side second = new Side(folder);
        assertEquals(Set.of("a"), second.next().out());
        assertTrue(second.setOut("b", true));
        assertEquals(Set.of("a"), first.next().out());
        assertEquals(Set.of("a", "b"), first.next().out());
        first.close();
        second.close();
    }

    /** A process may die at any point of writing; only what has its name counts. */
    @Test
    void whatWasLeftHalfWrittenIsNotRead() throws Exception {
        Side first = new Side(folder);
        assertTrue(first.setOut("a", true));
        first.close();
        Files.writeString(folder.resolve("passhatch-n%2F0-dead.tmp"), "{\"version\":9,\"out\":[");
        Side second = new Side(folder);
        assertEquals(Set.of("a"), second.next().out());
        second.close();
    }

    @Test
    void whatCannotBeKeptDoesNotHold() throws Exception {
        Side side = new Side(folder);
        Files.createDirectories(state().resolve("in the way"));
        assertFalse(side.setOut("a", true));
        assertNull(side.states.poll());
        side.close();
    }

    @Test
    void withNoPlaceToKeepAnythingItHoldsForThisProcess() throws Exception {
        for (Path none : new Path[] {null, folder.resolve("missing")}) {
            Side side = new Side(none);
            assertTrue(side.setOut("a", true));
            assertEquals(Set.of("a"), side.next().out());
            assertFalse(side.hasSuccessor());
            side.close();
        }
    }

    /** Also where one name begins like another. */
    @ParameterizedTest
    @ValueSource(strings = {"n1", "n", "n/0-b", "n/0-"})
    void proxiesOfOtherNamesAreOthers(String name) throws Exception {
        Side side = new Side(folder);
        try (StateFolder other = new StateFolder(folder, name);
                StateFolder same = new StateFolder(folder, "n/0")) {
            assertTrue(other.peers().isEmpty());
            assertEquals(1, same.peers().size(), "its own fellow alone");
            assertTrue(side.setOut("a", true));
            assertNull(other.readState());
        }
        side.close();
    }
}
