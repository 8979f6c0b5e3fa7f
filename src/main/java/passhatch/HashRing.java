package passhatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Servers on a ring, at several points each that hash from their ids alone (consistent hashing). */
final class HashRing {

    /** Points of a server: more make the parts of the ring more even, and the ring dearer to keep. */
    private static final int POINTS_PER_SERVER = 8;
    /** The low bits of a point hold its server's slot. */
    private static final int SLOT_BITS = 20;
    private static final long SLOT_MASK = (1L << SLOT_BITS) - 1;
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private ServerState[] serversBySlot = new ServerState[16];
    private final Deque<Integer> freeSlots = new ArrayDeque<>();
    private int slotCount;
    /** The points, in their order round the ring. */
    private long[] points = {};
    /** Where the points of each part of the ring begin: about as many parts as points, by their top bits. */
    private int[] bucketStarts = {};
    private int bucketShift;

    /** How many servers stand there. */
    int size() {
        return points.length / POINTS_PER_SERVER;
    }

    /** Slots, used or not: each server has one of its own below that. */
    int slotCount() {
        return slotCount;
    }

    /** The server of a slot; null where there is none. */
    ServerState server(int slot) {
        return serversBySlot[slot];
    }

    /** The slot of the server at a point, counted round the ring. */
    int slotAt(int pointIndex) {
        return (int) (points[pointIndex % points.length] & SLOT_MASK);
    }

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
                newPoints[newCount++] = mix(server.hash + k * GOLDEN_GAMMA) >>> 1 & ~SLOT_MASK | server.slot;
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

    /** Merges two sorted rows, the first of which has room for the second behind its last. */
    private static long[] merge(long[] target, int targetLength, long[] other) {
        int targetLeft = targetLength;
        int otherLeft = other.length;
        for (int writeIndex = target.length; otherLeft > 0;) {
            target[--writeIndex] = targetLeft > 0 && target[targetLeft - 1] > other[otherLeft - 1]
                    ? target[--targetLeft] : other[--otherLeft];
        }
        return target;
    }

    /** The first point after the k-th place of a row of its own that each number has on the ring. */
    int firstPointAfter(int replica, int round) {
        long position = mix(replica * GOLDEN_GAMMA + mix(round)) >>> 1;
        int pointIndex = bucketStarts[(int) (position >>> bucketShift)];
        while (pointIndex < points.length && points[pointIndex] < position) {
            pointIndex++;
        }
        return pointIndex % points.length;
    }

    /** All servers: the first ones given, then the others as they follow a number's place on the ring. */
    List<ServerState> allServers(List<ServerState> first, int replica) {
        Set<ServerState> ordered = new LinkedHashSet<>(first);
        int startIndex = firstPointAfter(replica, -1);
        for (int i = 0; i < points.length; i++) {
            ordered.add(serversBySlot[slotAt(startIndex + i)]);
        }
        return List.copyOf(ordered);
    }

    /** A part of one, its own for each number. */
    static double uniformFraction(long seed) {
        return (mix(seed) >>> 11) * 0x1p-53;
    }

    /** The k-th of so many numbers that a server draws. */
    static int draw(ServerState server, int drawIndex, int bound) {
        return (int) Math.floorMod(mix(server.hash + mix(drawIndex)), (long) bound);
    }

    /** A hash of an id that is the same everywhere; 64 bits, as two servers must not share their points. */
    static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long mixedOnce = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        long mixedTwice = (mixedOnce ^ mixedOnce >>> 27) * 0x94d049bb133111ebL;
        return mixedTwice ^ mixedTwice >>> 31;
    }
}
