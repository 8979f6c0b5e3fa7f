package passhatch.proxy;

/** Why a client connection was closed: the first reason there was. */
enum CloseReason {
    /** The client closed it, or it broke. */
    BY_CLIENT,
    /** No request began on it for too long, or the proxy drains. */
    IDLE,
    /** Others needed its place. */
    EVICTED,
    /** A request on it was rejected. */
    REJECTED,
    /** Its last response said that it closes. */
    AFTER_RESPONSE,
    /** A response could not be given or completed. */
    RESPONSE_FAILED,
    /** An error in its handling, or no progress of a write. */
    ERROR
}
