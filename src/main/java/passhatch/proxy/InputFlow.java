package passhatch.proxy;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Reads and decodes the input of one client connection as far as there is room for it, in turns with other
 * connections, and tells since when input may be unread. Used by the event loop only; times ending in
 * {@code Us} are microseconds of the proxy's clock.
 */
final class InputFlow {

    /**
     * Parts of requests that are decoded for a connection before others get their turn: one read may bring
     * more than a thousand.
     */
    private static final int MAX_PARTS_PER_TURN = 64;
    /** Undecoded bytes with which reading is paused. */
    private static final int MAX_UNDECODED_BYTES = 1 << 16;
    /** Undecoded bytes up to which more is read to find a close behind them. */
    private static final int MAX_LOOK_BYTES = 1 << 20;
    /** The same while memory is scarce. */
    private static final int MAX_SCARCE_LOOK_BYTES = 1 << 13;
    /** Time without input after which a client whose input was paused is taken to have no more of it. */
    private static final long NOTHING_FOLLOWS_MS = 5;

    private final Channel channel;
    private final Clock clock;
    private final TransferMonitor transfers;
    private final ReadAheadBuffer readAhead;
    private final MemoryAccount memory;
    private final LookLease lease;
    private final LongConsumer onPauseEnded;
    private final RequestDecoder decoder = new RequestDecoder(this::undecodedAdded);
    /** Bytes of the account that the decoder's undelivered input takes. */
    private int undeliveredBytes;
    /** Parts that were decoded since the connection last had its turn. */
    private int partsThisTurn;
    /** Whether reading is paused because there is no room for more input. */
    private boolean readingPaused;
    /** Whether reading was paused since all input was read; the client may have more to send at once. */
    private boolean wasPaused;

    /**
     * Creates the flow of a connection of which nothing has been read.
     *
     * @param readAhead buffers the decoded parts until they are handled
     * @param memory counts what the decoder holds
     * @param lease held while much of an upload is read although memory is scarce
     * @param onPauseEnded receives how long input was unread, in microseconds, when a pause has ended
     */
    InputFlow(Channel channel, Clock clock, TransferMonitor transfers, ReadAheadBuffer readAhead,
            MemoryAccount memory, LookLease lease, LongConsumer onPauseEnded) {
        this.channel = channel;
        this.clock = clock;
        this.transfers = transfers;
        this.readAhead = readAhead;
        this.memory = memory;
        this.lease = lease;
        this.onPauseEnded = onPauseEnded;
    }

    RequestDecoder decoder() {
        return decoder;
    }

    /** Called when a decoded part has been added to the buffer. */
    void partBuffered() {
        partsThisTurn++;
        if (readAhead.isFull()) {
            decoder.pause();
            pauseReading();
        } else if (partsThisTurn >= MAX_PARTS_PER_TURN) {
            decoder.pause();
        }
    }

    /** Called when input has been read that is not decoded yet. */
    private void undecodedAdded() {
        if (!readingPaused && decoder.undecodedBytes() > MAX_UNDECODED_BYTES) {
            pauseReading();
        }
    }

    /**
     * Whether input may be read to find a close behind it, also while reading is paused.
     *
     * @param uploading whether a request is incomplete, which cannot be sent before its input is read
     */
    ClientSocket.LookRoom roomToLook(boolean uploading) {
        if (!readingPaused) {
            return ClientSocket.LookRoom.FREE;
        }
        int undecodedBytes = decoder.undecodedBytes();
        if (undecodedBytes < (memory.isScarce() ? MAX_SCARCE_LOOK_BYTES : MAX_LOOK_BYTES)) {
            return ClientSocket.LookRoom.FREE;
        }
        if (!uploading || undecodedBytes >= MAX_LOOK_BYTES) {
            return ClientSocket.LookRoom.NONE;
        }
        boolean leased = (lease.isHeldBy(this) || memory.hasRoomForLarge()) && lease.acquire(this);
        return leased ? ClientSocket.LookRoom.FREE : ClientSocket.LookRoom.LATER;
    }

    /** Called when the presence of the client has been decided. */
    void lookEnded() {
        lease.release(this);
    }

    /** Called when buffered parts have been handled, so that more may be decoded. */
    void startTurn() {
        partsThisTurn = 0;
    }

    /** Reads nothing more until {@link #resume}. */
    private void pauseReading() {
        readingPaused = true;
        wasPaused = true;
        transfers.readingPaused();
        channel.config().setAutoRead(false);
    }

    /** Decodes input that has been read. */
    void decode() throws Exception {
        decoder.resume();
    }

    /** Reads on after a pause, if all that was read has been decoded. */
    void readOn() {
        if (!decoder.isPaused() && readingPaused) {
            readingPaused = false;
            channel.config().setAutoRead(true);
            endPauseIfNothingFollows();
        }
    }

    /** Called when the event loop has read from the connection, perhaps not all that there is. */
    void readCompleted() {
        if (readingPaused || !BudgetedReceiveAllocator.isSocketDrained(channel)) {
            return;
        }
        if (wasPaused) {
            endPauseIfNothingFollows();
        } else {
            transfers.allRead();
        }
    }

    /**
     * Notes that all input has been read, if nothing more comes for a moment: after a pause the client's
     * system may have more to send as soon as there is room for it.
     */
    private void endPauseIfNothingFollows() {
        long lastReceivedUs = transfers.lastReceivedUs();
        channel.eventLoop().schedule(() -> {
            if (!readingPaused && transfers.lastReceivedUs() == lastReceivedUs) {
                onPauseEnded.accept(clock.nowUs() - transfers.unreadSinceUs());
                wasPaused = false;
                transfers.allRead();
            }
        }, NOTHING_FOLLOWS_MS, TimeUnit.MILLISECONDS);
    }

    /** The state of the input, as part of a log line. */
    String describe() {
        return "input read " + (clock.nowUs() - transfers.lastReceivedUs()) / 1_000 + " ms ago, reading "
                + (channel.config().isAutoRead() ? "on" : "paused") + ", decoding "
                + (decoder.isPaused() ? "paused" : "on");
    }

    /** Counts the memory that the decoder holds; false if there is none left for the head that it decodes. */
    boolean reserveUndelivered() {
        int addedBytes = decoder.heldBytes() - undeliveredBytes;
        if (addedBytes <= 0) {
            memory.release(-addedBytes);
        } else if (lease.isHeldBy(this)) {
            // Others must not give way to it: it gives the memory back as soon as it is sent.
            memory.hold(addedBytes);
        } else if (!memory.reserve(addedBytes)) {
            return !readAhead.isEmpty() || decoder.isPaused();
        }
        undeliveredBytes += addedBytes;
        return true;
    }

    /** Gives back what was counted for the decoder, as its input is not wanted any more. */
    void releaseUndelivered() {
        memory.release(undeliveredBytes);
        undeliveredBytes = 0;
    }

    /** Reads without buffering from now on, so that a close by the client is seen. */
    void readOnDiscarding() {
        readingPaused = false;
        channel.config().setAutoRead(true);
    }
}
