package passhatch.proxy;

/** Where bytes are reserved before they are held. Used by the event loop only. */
interface MemorySource {

    /** Counts the bytes as held; returns false and counts nothing if there is no room for them. */
    boolean reserve(int bytes);

    /** Counts bytes that are held already, also beyond the limit. */
    void hold(int bytes);

    /** Gives back bytes that were counted as held before. */
    void release(int bytes);

    /** Whether whoever holds something should not read more. */
    boolean isScarce();
}
