package passhatch.lab.discovery;

/** Hears what happens at a stand-in discovery, in its event loop. */
public interface DiscoveryListener {

    /** Nobody listens. */
    DiscoveryListener NONE = new DiscoveryListener() { };

    /** A call came in and finds so many others waiting. */
    default void callReceived(int queuedCalls) { }

    /** A call got its answer, or the beginning of a watch, after it waited for so long in nanoseconds. */
    default void callServed(long waitedNs) { }

    /** A call was answered 503. */
    default void callRejected() { }

    /** Bytes were read from a caller. */
    default void bytesReceived(int bytes) { }

    /** Bytes were written to a caller, HTTP's own included, TCP's not. */
    default void bytesSent(int bytes) { }
}
