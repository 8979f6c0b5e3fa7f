package passhatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A ring for consistent hashing: each server has several points on it, whose positions are hashes of its id
 * alone. Servers are also numbered by slots, which are reused after a server is removed.
 */
final class HashRing {

    /** More points divide the ring more evenly among the servers, but make it more expensive to update. */
    private static final int POINTS_PER_SERVER = 8;
    /** The low bits of a point hold its server's slot, the others its position. */
    private static final int SLOT_BITS = 20;
    private static final long SLOT_MASK = (1L << SLOT_BITS) - 1;
    /** The increment of SplitMix64: 2^64 divided by the golden ratio. */
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private ServerState[] serversBySlot = new ServerState[16];
    private final Deque<Integer> freeSlots = new ArrayDeque<>();
    /** Slots given out so far, free ones included. */
    private int slotCount;
    /** The points in ascending order, which is their order round the ring. */
    private long[] points = {};
    /**
     * Index of the first point at or after the start of each bucket. Buckets are parts of the ring of equal
     * size, by the top bits of positions, and about as many as points.
     */
    private int[] bucketStarts = {};
    /** Shift that leaves the bucket of a position. */
    private int bucketShift;

    /** The number of servers on the ring. */
    int size() {
        return points.length / POINTS_PER_SERVER;
    }

    /** The number of points of all servers. */
    int pointCount() {
        return points.length;
    }

    /** The number of slots, free ones included; each server's slot is below it. */
    int slotCount() {
        return slotCount;
    }

    /** The server of a slot; null where the slot is free. */
    ServerState server(int slot) {
        return serversBySlot[slot];
    }

    /** The slot of the server at a point; an index past the last point continues from the first one. */
    int slotAt(int pointIndex) {
        return (int) (points[pointIndex % points.length] & SLOT_MASK);
    }

    /** Removes and adds servers. */
    void update(Collection<ServerState> removed, Collection<ServerState> added) {
        for (ServerState server : removed) {
            serversBySlot[server.slot] = null;
            freeSlots.add(server.slot);
        }
        int keptCount = 0;
        for (long point : points) {
            if (serversBySlot[(int) (point & SLOT_MASK)] != null) {
                points[keptCount++] = point;
            }
        }
        long[] newPoints = new long[added.size() * POINTS_PER_SERVER];
        int newCount = 0;
        for (ServerState server : added) {
            server.slot = freeSlots.isEmpty() ? slotCount++ : freeSlots.poll();
            serversBySlot = server.slot < serversBySlot.length ? serversBySlot
                    : Arrays.copyOf(serversBySlot, serversBySlot.length * 2);
            serversBySlot[server.slot] = server;
            for (int k = 0; k < POINTS_PER_SERVER; k++) {
                newPoints[newCount++] =
                        StableHash.mix(server.hash + k * GOLDEN_GAMMA) >>> 1 & ~SLOT_MASK | server.slot;
            }
        }
        Arrays.sort(newPoints);
        points = merge(Arrays.copyOf(points, keptCount + newPoints.length), keptCount, newPoints);
        int bucketBits = Math.max(1, Integer.SIZE - Integer.numberOfLeadingZeros(points.length));
        bucketShift = Long.SIZE - 1 - bucketBits;
        bucketStarts = new int[1 << bucketBits];
        for (int bucket = 0, pointIndex = 0; bucket < bucketStarts.length; bucket++) {
            while (pointIndex < points.length && points[pointIndex] >>> bucketShift < bucket) {
                pointIndex++;
            }
            bucketStarts[bucket] = pointIndex;
        }
    }

    /** Merges two sorted arrays into the first one, which has room for the second after its own elements. */
    private static long[] merge(long[] target, int targetLength, long[] other) {
        int targetLeft = targetLength;
        int otherLeft = other.length;
        for (int writeIndex = target.length; otherLeft > 0;) {
            target[--writeIndex] = targetLeft > 0 && target[targetLeft - 1] > other[otherLeft - 1]
                    ? target[--targetLeft] : other[--otherLeft];
        }
        return target;
    }

    /**
     * The index of the first point after a replica's position in a round. Each replica has its own sequence
     * of pseudo-random positions, one for each round.
     */
    int firstPointAfter(int replica, int round) {
        long position = StableHash.mix(replica * GOLDEN_GAMMA + StableHash.mix(round)) >>> 1;
        int pointIndex = bucketStarts[(int) (position >>> bucketShift)];
        while (pointIndex < points.length && points[pointIndex] < position) {
            pointIndex++;
        }
        return pointIndex % points.length;
    }

    /** All servers: the given ones first, then the others in ring order from a position of the replica. */
    List<ServerState> allServers(List<ServerState> first, int replica) {
        Set<ServerState> ordered = new LinkedHashSet<>(first);
        int startIndex = firstPointAfter(replica, -1);
        for (int i = 0; i < points.length; i++) {
            ordered.add(serversBySlot[slotAt(startIndex + i)]);
        }
        return List.copyOf(ordered);
    }

    /** A pseudo-random number from 0 to below 1 that depends on the seed alone. */
    static double uniformFraction(long seed) {
        return (StableHash.mix(seed) >>> 11) * 0x1p-53;
    }

    /** The number below the bound that a server draws at an index of its own pseudo-random sequence. */
    static int draw(ServerState server, int drawIndex, int bound) {
        return (int) Math.floorMod(StableHash.mix(server.hash + StableHash.mix(drawIndex)), (long) bound);
    }
}
