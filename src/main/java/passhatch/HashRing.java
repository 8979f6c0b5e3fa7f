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
    private static final int POINTS = 8;
    /** The low bits of a point hold its server's slot. */
    private static final int SLOT_BITS = 20;
    private static final long SLOTS = (1L << SLOT_BITS) - 1;
    private static final long GOLDEN = 0x9E3779B97F4A7C15L;

    private ServerState[] servers = new ServerState[16];
    private final Deque<Integer> free = new ArrayDeque<>();
    private int slots;
    /** The points, in their order round the ring. */
    private long[] points = {};
    /** Where the points of each part of the ring begin: about as many parts as points, by their top bits. */
    private int[] begins = {};
    private int shift;

    /** How many servers stand there. */
    int size() {
        return points.length / POINTS;
    }

    /** Slots, used or not: each server has one of its own below that. */
    int slots() {
        return slots;
    }

    /** The server of a slot; null where there is none. */
    ServerState server(int slot) {
        return servers[slot];
    }

    /** The slot of the server at a point, counted round the ring. */
    int slot(int point) {
        return (int) (points[point % points.length] & SLOTS);
    }

    void change(Collection<ServerState> gone, Collection<ServerState> come) {
        for (ServerState s : gone) {
            servers[s.slot] = null;
            free.add(s.slot);
        }
        int kept = 0;
        for (long point : points) {
            if (servers[(int) (point & SLOTS)] != null) {
                points[kept++] = point;
            }
        }
        long[] more = new long[come.size() * POINTS];
        int i = 0;
        for (ServerState s : come) {
            s.slot = free.isEmpty() ? slots++ : free.poll();
            servers = s.slot < servers.length ? servers : Arrays.copyOf(servers, servers.length * 2);
            servers[s.slot] = s;
            for (int k = 0; k < POINTS; k++) {
                more[i++] = mix(s.hash + k * GOLDEN) >>> 1 & ~SLOTS | s.slot;
            }
        }
        Arrays.sort(more);
        points = merge(Arrays.copyOf(points, kept + more.length), kept, more);
        int bits = Math.max(1, Integer.SIZE - Integer.numberOfLeadingZeros(points.length));
        shift = Long.SIZE - 1 - bits;
        begins = new int[1 << bits];
        for (int part = 0, at = 0; part < begins.length; part++) {
            while (at < points.length && points[at] >>> shift < part) {
                at++;
            }
            begins[part] = at;
        }
    }

    /** Merges two sorted rows, the first of which has room for the second behind its last. */
    private static long[] merge(long[] row, int last, long[] more) {
        int i = last;
        int j = more.length;
        for (int k = row.length; j > 0;) {
            row[--k] = i > 0 && row[i - 1] > more[j - 1] ? row[--i] : more[--j];
        }
        return row;
    }

    /** The first point after the k-th place of a row of its own that each number has on the ring. */
    int after(int number, int k) {
        long place = mix(number * GOLDEN + mix(k)) >>> 1;
        int at = begins[(int) (place >>> shift)];
        while (at < points.length && points[at] < place) {
            at++;
        }
        return at % points.length;
    }

    /** All servers: the first ones given, then the others as they follow a number's place on the ring. */
    List<ServerState> order(List<ServerState> first, int number) {
        Set<ServerState> order = new LinkedHashSet<>(first);
        int from = after(number, -1);
        for (int i = 0; i < points.length; i++) {
            order.add(servers[slot(from + i)]);
        }
        return List.copyOf(order);
    }

    /** A part of one, its own for each number. */
    static double part(long number) {
        return (mix(number) >>> 11) * 0x1p-53;
    }

    /** The k-th of so many numbers that a server draws. */
    static int draw(ServerState server, int k, int numbers) {
        return (int) Math.floorMod(mix(server.hash + mix(k)), (long) numbers);
    }

    /** A hash of an id that is the same everywhere; 64 bits, as two servers must not share their points. */
    static long hash(String id) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** The finaliser of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long z) {
        long a = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ a >>> 27) * 0x94d049bb133111ebL;
        return b ^ b >>> 31;
    }
}
