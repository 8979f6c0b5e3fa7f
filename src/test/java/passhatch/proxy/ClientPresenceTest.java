package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.proxy.ClientPresence.LookResult;
import passhatch.proxy.ClientPresence.Status;

/** What is known of a client, whatever it and the event loop do in whatever order. */
final class ClientPresenceTest {

    /** An attempt may begin 0.1 s after the close; 30 ms of that are for writing it. */
    private static final long MAX_PRESENT_AFTER_CLOSE_US = 70_000;
    private static final int ORDERS = 4_000;
    private static final int STEPS = 120;

    /** The two ends of a connection, with a receive window between them. */
    private static final class SimulatedConnection implements ClientPresence.Socket {
        private static final int WINDOW_BYTES = 1 << 16;
        private static final int READ_BYTES = 1 << 15;
        private static final int MAX_READS = 16;
        /** Delays of the event loop that it does not notice itself, and counts always. */
        private static final long UNNOTICED_DELAY_US = 12_000;

        private final Random random;
        private long nowUs = 1_000_000;
        private long lastPollUs = nowUs;
        private long unsentBytes;
        private int unreadBytes;
        /** When the client's system sends on, after the window has opened. */
        private long sendsOnAtUs;
        private boolean windowWasFull;
        private long closedAtUs = -1;
        private boolean watched = true;
        private boolean closeRead;
        private final ClientPresence presence;

        /** Creates a connection that has waited to be accepted, and whose client may have left meanwhile. */
        SimulatedConnection(long seed, long queueTimeUs) {
            random = new Random(seed);
            Clock clock = new Clock(() -> nowUs * 1_000);
            if (queueTimeUs > 0) {
                write(1 + random.nextInt(100_000));
                if (random.nextInt(4) == 0) {
                    close(false);
                }
                advance(queueTimeUs);
            }
            presence = new ClientPresence(clock, this, clock.nowUs() - queueTimeUs);
            lastPollUs = nowUs;
            presence.watchStarted();
        }

        void write(int bytes) {
            if (closedAtUs < 0) {
                unsentBytes += bytes;
                transmit();
            }
        }

        void close(boolean reset) {
            if (closedAtUs < 0) {
                closedAtUs = nowUs;
                if (reset) {
                    unsentBytes = 0;
                    unreadBytes = 0;
                }
            }
        }

        private void transmit() {
            if (windowWasFull && nowUs < sendsOnAtUs) {
                return;
            }
            long sent = Math.min(unsentBytes, WINDOW_BYTES - unreadBytes);
            unsentBytes -= sent;
            unreadBytes += (int) sent;
            windowWasFull = unsentBytes > 0;
            sendsOnAtUs = Long.MAX_VALUE;
        }

        void advance(long us) {
            nowUs += us;
            transmit();
        }

        /** Lets the event loop look for input. */
        void poll() {
            if (watched && (unreadBytes > 0 || closeIsNext())) {
                read();
            }
            lastPollUs = nowUs;
        }

        private boolean closeIsNext() {
            return closedAtUs >= 0 && unsentBytes == 0 && unreadBytes == 0;
        }

        void setWatched(boolean newWatched) {
            if (newWatched && !watched) {
                watched = true;
                presence.watchStarted();
            }
            watched = newWatched;
        }

        @Override
        public boolean isWatched() {
            return watched;
        }

        /** Reads also while reading is paused, unless there is no room for more. */
        @Override
        public LookResult read() {
            if (closeRead || !watched && random.nextInt(4) == 0) {
                return random.nextBoolean() ? LookResult.MORE : LookResult.MORE_LATER;
            }
            boolean empty = false;
            for (int reads = 0; reads < MAX_READS && !empty; reads++) {
                empty = readOnce();
                if (closeRead) {
                    return LookResult.MORE;
                }
            }
            presence.readEnded(empty);
            if (watched) {
                presence.watchStarted();
            }
            return empty ? LookResult.EMPTIED : LookResult.MORE;
        }

        /** Returns whether nothing was there. */
        private boolean readOnce() {
            int bytes = Math.min(unreadBytes, READ_BYTES);
            unreadBytes -= bytes;
            if (windowWasFull && sendsOnAtUs == Long.MAX_VALUE) {
                sendsOnAtUs = nowUs + random.nextInt(4_000);
            }
            if (bytes > 0) {
                presence.received(bytes, Math.max(UNNOTICED_DELAY_US, nowUs - lastPollUs));
                watched &= random.nextInt(20) > 0;
            } else if (closeIsNext()) {
                closeRead = true;
                presence.noteLeft();
            }
            return bytes == 0;
        }

        /** Asks as before an attempt, and checks the answer. */
        Status ask() {
            Status status = presence.status();
            if (status == Status.PRESENT) {
                assertTrue(closedAtUs < 0 || nowUs - closedAtUs <= MAX_PRESENT_AFTER_CLOSE_US,
                        () -> "present " + (nowUs - closedAtUs) + " us after its close");
            }
            if (status == Status.LEFT) {
                assertTrue(closedAtUs >= 0);
            }
            return status;
        }

        void step() {
            switch (random.nextInt(12)) {
                case 0 -> write(1 + random.nextInt(400));
                case 1 -> write(1 + random.nextInt(400_000));
                case 2 -> setWatched(random.nextInt(3) == 0);
                case 3 -> setWatched(true);
                case 4 -> advance(random.nextInt(500_000));
                case 5, 6 -> advance(random.nextInt(8_000));
                case 7 -> {
                    if (random.nextInt(10) == 0) {
                        close(random.nextBoolean());
                    }
                }
                case 8, 9 -> ask();
                default -> poll();
            }
        }

        /** Reads all, as an event loop with room for it does, until nothing has come for a while. */
        void settle() {
            setWatched(true);
            while (unsentBytes > 0 || unreadBytes > 0) {
                setWatched(true);
                poll();
                advance(1_000);
            }
            setWatched(true);
            advance(ClientPresence.SETTLE_TIME_US);
            poll();
        }
    }

    // Guards against a client that counts as present for longer than the rule allows after its close.
    @ParameterizedTest
    @ValueSource(longs = {1, 43})
    void noClientCountsAsPresentLongAfterItsClose(long seed) {
        Random seeds = new Random(seed);
        for (int i = 0; i < ORDERS; i++) {
            SimulatedConnection connection =
                    new SimulatedConnection(seeds.nextLong(), Math.max(0, seeds.nextInt(800_000) - 400_000));
            for (int step = 0; step < STEPS; step++) {
                connection.step();
            }
        }
    }

    // Guards against refusals of clients that send one request at a time.
    @ParameterizedTest
    @ValueSource(longs = {2, 44})
    void aClientOfWhichNothingIsUnreadIsPresent(long seed) {
        Random seeds = new Random(seed);
        for (int i = 0; i < ORDERS; i++) {
            SimulatedConnection connection =
                    new SimulatedConnection(seeds.nextLong(), Math.max(0, seeds.nextInt(800_000) - 400_000));
            for (int step = 0; step < STEPS && connection.closedAtUs < 0; step++) {
                connection.step();
            }
            if (connection.closedAtUs < 0) {
                connection.settle();
                assertEquals(Status.PRESENT, connection.ask());
                connection.advance(3_000_000);
                connection.poll();
                connection.write(1 + seeds.nextInt(400_000));
                connection.advance(seeds.nextInt(9_000));
                connection.poll();
                assertEquals(Status.PRESENT, connection.ask(), "a request after a while of silence");
                connection.settle();
                connection.advance(1_000_000);
                assertEquals(Status.PRESENT, connection.ask(), "a retry of it a second later");
            }
        }
    }

    // Guards against a pause in reading that begins after the socket was found empty.
    @Test
    void evidenceAgesWhileReadingIsPaused() {
        SimulatedConnection connection = new SimulatedConnection(5, 0);
        connection.write(100);
        connection.poll();
        connection.poll();
        assertEquals(Status.PRESENT, connection.ask());
        connection.setWatched(false);
        connection.write(400_000);
        connection.close(false);
        connection.advance(400_000);
        assertNotEquals(Status.PRESENT, connection.ask());
        connection.settle();
        assertEquals(Status.LEFT, connection.ask());
    }

    // Guards against input that the client's system held back while the receive window was full.
    @Test
    void anEmptySocketIsNoEvidenceJustAfterTheWindowWasFull() {
        SimulatedConnection connection = new SimulatedConnection(6, 0);
        connection.setWatched(false);
        connection.write(300_000);
        connection.close(false);
        connection.advance(400_000);
        connection.setWatched(true);
        assertNotEquals(Status.PRESENT, connection.ask());
        connection.advance(500);
        assertNotEquals(Status.PRESENT, connection.ask());
    }
}
