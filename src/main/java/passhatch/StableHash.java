package passhatch;

/** Hashes that are the same in every process and on every machine. */
public final class StableHash {

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() { }

    /**
     * A hash of an id (FNV-1a, then mixed). It has 64 bits, so that different ids practically never have the
     * same.
     */
    public static long of(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood, 2014). */
    static long mix(long value) {
        long mixedOnce = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        long mixedTwice = (mixedOnce ^ mixedOnce >>> 27) * 0x94d049bb133111ebL;
        return mixedTwice ^ mixedTwice >>> 31;
    }
}
