package passhatch.proxy;

/**
 * The progress of a transfer on a backend connection: of a request body, then of a streamed response. Used by
 * the event loop only; times are in microseconds of the proxy's clock.
 */
final class TransferProgress {

    /**
     * Time for which a backend may pause in a response of unknown length after its deadline. The protocol
     * allows for a response to be held back for as long.
     */
    private static final long MAX_PAUSE_US = 2_000_000;
    /** Bytes that such a response must bring in that time; a trickle below is not expected to complete. */
    private static final long MIN_BYTES_PER_PAUSE = 1_000;

    private final Clock clock;
    private long lastProgressUs;
    private long streamedBytes;
    /** Start of the period in which the rate of the response is observed, and the bytes until then. */
    private long periodStartUs;
    private long periodStartBytes;

    /** Creates the progress of a connection that has transferred nothing. */
    TransferProgress(Clock clock) {
        this.clock = clock;
    }

    /** Notes that bytes were transferred in either direction. */
    void advanced() {
        lastProgressUs = clock.nowUs();
    }

    /** Starts with a streamed response of which so much has been received. */
    void responseStarted(int receivedBytes) {
        streamedBytes = receivedBytes;
        startPeriod();
    }

    /** Notes that more of the streamed response has been received. */
    void responseReceived(int bytes) {
        streamedBytes += bytes;
    }

    private void startPeriod() {
        periodStartUs = clock.nowUs();
        periodStartBytes = streamedBytes;
    }

    /** Bytes of the streamed response that have been received. */
    long streamedBytes() {
        return streamedBytes;
    }

    /** Time since bytes were last transferred. */
    long idleUs() {
        return clock.nowUs() - lastProgressUs;
    }

    /**
     * Whether the backend has sent enough of the streamed response lately to be expected to go on. To be
     * asked repeatedly.
     *
     * @param isReading whether the backend is being read; while it is not, nothing can be told
     */
    boolean isStillGiving(boolean isReading) {
        boolean isPeriodOver = clock.nowUs() - periodStartUs >= MAX_PAUSE_US;
        boolean isTrickle = isPeriodOver && streamedBytes - periodStartBytes < MIN_BYTES_PER_PAUSE;
        if (!isReading || isPeriodOver) {
            startPeriod();
        }
        return !isReading || !isTrickle && idleUs() < MAX_PAUSE_US;
    }
}
