package passhatch.proxy;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import passhatch.StableHash;

/**
 * The ids of requests that may have run and must not run again, in memory of a fixed size. The processes of
 * an upgrade share it through a file. It is a set-associative table: each id has one bucket, in which it
 * replaces the one that was claimed first if there is no free slot. A slot holds the id's hash and the time
 * of the claim.
 */
final class RequestIdTable {

    private static final int BUCKETS = 1 << 10;
    private static final int SLOTS_PER_BUCKET = 8;
    private static final int SLOT_BYTES = 2 * Long.BYTES;
    private static final int BUCKET_BYTES = SLOTS_PER_BUCKET * SLOT_BYTES;
    /** Size of the table in bytes. */
    static final int BYTES = BUCKETS * BUCKET_BYTES;
    /** Stands for the age of an id where none was replaced. */
    static final long NOTHING_REPLACED = Long.MAX_VALUE;
    /** Hash of a slot that is free. */
    private static final long FREE = 0;
    private static final VarHandle LONGS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer slots;

    private RequestIdTable(ByteBuffer slots) {
        this.slots = slots;
    }

    /** Creates an empty table that no other process sees. */
    static RequestIdTable ofThisProcess() {
        return new RequestIdTable(ByteBuffer.allocateDirect(BYTES));
    }

    /**
     * Opens the table in a file, or creates the file. All of its space is taken at once, as a write to a
     * mapped page for which there is none would end the process.
     *
     * @throws IOException if the file cannot be opened, filled or mapped
     */
    static RequestIdTable sharedIn(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            while (channel.size() < BYTES) {
                channel.write(ByteBuffer.allocate(BYTES - (int) channel.size()), channel.size());
            }
            return new RequestIdTable(channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES));
        }
    }

    /** Whether the id has been claimed. */
    boolean contains(String id) {
        long hash = hash(id);
        return findSlot(bucket(hash), hash) >= 0;
    }

    /**
     * The result of recording an id.
     *
     * @param isFirst whether neither this nor another process had claimed it before
     * @param replacedAgeNs how long ago the id was claimed that had to be forgotten for it, in nanoseconds;
     *     {@link #NOTHING_REPLACED} if none had to
     */
    record Claim(boolean isFirst, long replacedAgeNs) { }

    /** Records the id, unless this or another process has claimed it before. */
    Claim claim(String id) {
        long hash = hash(id);
        int bucket = bucket(hash);
        while (findSlot(bucket, hash) < 0) {
            int freeSlot = findSlot(bucket, FREE);
            int slot = freeSlot >= 0 ? freeSlot : oldestSlot(bucket);
            long replaced = freeSlot >= 0 ? FREE : readHash(slot);
            long replacedAgeNs = replaced == FREE ? NOTHING_REPLACED
                    : Math.max(0, System.nanoTime() - claimedAtNs(slot));
            // Set first, so that the other process does not take the slot for the oldest one.
            LONGS.setVolatile(slots, slot + Long.BYTES, System.nanoTime());
            if (replaced != hash && LONGS.compareAndSet(slots, slot, replaced, hash)) {
                return new Claim(keepsClaim(bucket, slot, hash), replacedAgeNs);
            }
        }
        return new Claim(false, NOTHING_REPLACED);
    }

    /** Gives the claim up if the other process has claimed the id at the same time; both may do so. */
    private boolean keepsClaim(int bucket, int ownSlot, long hash) {
        for (int slot = bucket; slot < bucket + BUCKET_BYTES; slot += SLOT_BYTES) {
            if (slot != ownSlot && readHash(slot) == hash) {
                LONGS.compareAndSet(slots, ownSlot, hash, FREE);
                return false;
            }
        }
        return true;
    }

    /** Forgets an id, because its request has certainly not run. */
    void release(String id) {
        long hash = hash(id);
        int slot = findSlot(bucket(hash), hash);
        if (slot >= 0) {
            LONGS.compareAndSet(slots, slot, hash, FREE);
        }
    }

    private static long hash(String id) {
        long hash = StableHash.of(id);
        return hash == FREE ? 1 : hash;
    }

    private static int bucket(long hash) {
        return (int) Long.remainderUnsigned(hash, BUCKETS) * BUCKET_BYTES;
    }

    private long readHash(int slot) {
        return (long) LONGS.getVolatile(slots, slot);
    }

    /** Position of the first slot of the bucket with the hash; negative if there is none. */
    private int findSlot(int bucket, long hash) {
        for (int slot = bucket; slot < bucket + BUCKET_BYTES; slot += SLOT_BYTES) {
            if (readHash(slot) == hash) {
                return slot;
            }
        }
        return -1;
    }

    private int oldestSlot(int bucket) {
        int oldest = bucket;
        for (int slot = bucket; slot < bucket + BUCKET_BYTES; slot += SLOT_BYTES) {
            if (claimedAtNs(slot) - claimedAtNs(oldest) < 0) {
                oldest = slot;
            }
        }
        return oldest;
    }

    private long claimedAtNs(int slot) {
        return (long) LONGS.getVolatile(slots, slot + Long.BYTES);
    }
}
