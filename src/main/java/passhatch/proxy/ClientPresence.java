package passhatch.proxy;

/**
 * Tells whether the client of a connection is known to be connected. That is known only from evidence with a
 * time, and for a short while after it; a client of which nothing was learnt since then may have left.
 *
 * <p>The socket is a queue: a close is seen only once everything in front of it has been read, and what is
 * in front of it may still be with the client's system, which sends it when the receive window opens again.
 * So there are two kinds of evidence. A read that finds the socket empty proves that the client had not
 * closed, if the client's system had the time and the window to send all that it held. Input that arrives on
 * a socket that was known to be empty, and has been watched since, proves that the client was there when it
 * wrote that input.
 *
 * <p>Whatever keeps the socket from being looked at, such as a pause in reading or a delay of the event loop,
 * adds no evidence, so that the last one becomes too old. Nothing has to be reported for that.
 *
 * <p>Used by the event loop only; times are in microseconds of the proxy's clock.
 */
final class ClientPresence {

    /** What is known of the client. */
    enum Status {
        /** It is connected, or has left a moment ago. */
        PRESENT,
        /** It takes a moment to tell, as more input may be on its way: it is to be asked for again. */
        UNDECIDED,
        /** It may have left: there is input that has not been read. */
        UNKNOWN,
        /** It has closed the connection. */
        LEFT
    }

    /** An attempt may begin 0.1 s after the client's close at the latest; part of that is for writing it. */
    static final long MAX_EVIDENCE_AGE_US = 30_000;
    /** Evidence that is older than this is renewed if possible. */
    private static final long FRESH_EVIDENCE_AGE_US = 2_000;
    /** How long a client's system takes at most to send on once the receive window has opened. */
    static final long SETTLE_TIME_US = 5_000;
    /** The receive window is open as long as no more than this is unread: half of its first size on Linux. */
    static final int MIN_WINDOW_BYTES = 1 << 15;

    /** The socket of the connection. */
    interface Socket {
        /** Whether the event loop is told of input, so that it reads it at once. */
        boolean isWatched();

        /** Reads what there is, as far as there is room for it, and reports that to this class. */
        LookResult read();
    }

    /** The result of a look at the socket. */
    enum LookResult {
        /** All that there was has been read. */
        EMPTIED,
        /** There is more, and no room for it. */
        MORE,
        /** There is more, and there may be room for it in a moment. */
        MORE_LATER
    }

    private final Clock clock;
    private final Socket socket;
    private long lastKnownUs;
    private long lastReceivedUs;
    /** Whether the last read found the socket empty. */
    private boolean emptyAtLastRead = true;
    /** Whether that proved that the client was connected. */
    private boolean knownAtLastRead = true;
    /** When the socket was found empty, and the window has been open since. */
    private long openSinceUs;
    /** Whether the client's system held nothing back at that time. */
    private boolean heldNothing = true;
    /** Bytes received since then. */
    private long receivedSinceOpen;
    /** Whether the last read has just ended, so that watching goes on without a gap. */
    private boolean readJustEnded;
    /** Whether the socket was empty when the event loop last began to watch it. */
    private boolean watchedFromEmpty;
    /** Whether {@link Socket#read} is running. */
    private boolean reading;
    private boolean left;

    /**
     * Creates the presence of a client whose connection has been accepted now.
     *
     * @param connectedAtUs when the client can have connected at the earliest
     */
    ClientPresence(Clock clock, Socket socket, long connectedAtUs) {
        this.clock = clock;
        this.socket = socket;
        this.lastKnownUs = connectedAtUs;
        this.lastReceivedUs = connectedAtUs;
        this.openSinceUs = connectedAtUs;
    }

    /**
     * Notes that input has been read.
     *
     * @param maxDelayUs how long it can have waited to be read, provided that the socket was watched
     */
    void received(int bytes, long maxDelayUs) {
        long nowUs = clock.nowUs();
        long arrivedAtUs = nowUs - maxDelayUs;
        boolean arrivedSinceWatched = watchedFromEmpty && socket.isWatched();
        if (arrivedSinceWatched && (knownAtLastRead || arrivedAtUs - lastReceivedUs >= SETTLE_TIME_US)) {
            noteKnown(arrivedAtUs);
        }
        watchedFromEmpty = false;
        emptyAtLastRead = false;
        knownAtLastRead = false;
        lastReceivedUs = nowUs;
        receivedSinceOpen += bytes;
    }

    /**
     * Notes that the event loop has read from the socket, after all that this has led to.
     *
     * @param empty whether its last attempt found neither input nor a close
     */
    void readEnded(boolean empty) {
        emptyAtLastRead = empty;
        knownAtLastRead = empty && heldNothingBack();
        if (knownAtLastRead) {
            noteKnown(clock.nowUs());
        }
        if (knownAtLastRead || empty && receivedSinceOpen > MIN_WINDOW_BYTES) {
            openSinceUs = clock.nowUs();
            heldNothing = knownAtLastRead;
            receivedSinceOpen = 0;
        }
        readJustEnded = socket.isWatched();
    }

    /** Whether the client's system has sent all that it had, given that the socket is empty now. */
    private boolean heldNothingBack() {
        long nowUs = clock.nowUs();
        boolean windowStayedOpen = receivedSinceOpen <= MIN_WINDOW_BYTES
                && (heldNothing || nowUs - openSinceUs >= SETTLE_TIME_US);
        return windowStayedOpen || nowUs - lastReceivedUs >= SETTLE_TIME_US;
    }

    /** Notes that the event loop watches the socket from now on. */
    void watchStarted() {
        watchedFromEmpty = readJustEnded && emptyAtLastRead;
        readJustEnded = false;
    }

    private void noteKnown(long atUs) {
        lastKnownUs = Math.max(lastKnownUs, atUs);
    }

    /** Notes that the client has closed the connection, or that it broke. */
    void noteLeft() {
        left = true;
    }

    /**
     * What is known now. Looks at the socket unless that has just been done, so that a close may be found
     * and handled within this call.
     */
    Status status() {
        LookResult look = left || ageUs() <= FRESH_EVIDENCE_AGE_US ? LookResult.MORE : look();
        if (left) {
            return Status.LEFT;
        }
        if (ageUs() <= MAX_EVIDENCE_AGE_US) {
            return Status.PRESENT;
        }
        return look == LookResult.MORE ? Status.UNKNOWN : Status.UNDECIDED;
    }

    private LookResult look() {
        if (reading) {
            return LookResult.MORE;
        }
        reading = true;
        try {
            return socket.read();
        } finally {
            reading = false;
        }
    }

    /** How long ago the client was last known to be connected, in microseconds. */
    long ageUs() {
        return clock.nowUs() - lastKnownUs;
    }
}
