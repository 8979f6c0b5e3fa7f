package passhatch.lab.discovery;

/** Receives the events of a stand-in for discovery, in its event loop. */
public interface DiscoveryListener {

    /** A listener that does nothing. */
    DiscoveryListener NONE = new DiscoveryListener() { };

    /** A call arrived and found the given number of other calls queued. */
    default void callReceived(int queuedCalls) { }

    /**
     * A call got its response, or the first object of its watch, {@code waitedNs} nanoseconds after it
     * arrived.
     */
    default void callServed(long waitedNs) { }

    /** A call was answered 503. */
    default void callRejected() { }

    /** Bytes were read from a caller. */
    default void bytesReceived(int bytes) { }

    /** Bytes were written to a caller, including HTTP heads and chunk framing but not TCP headers. */
    default void bytesSent(int bytes) { }
}
