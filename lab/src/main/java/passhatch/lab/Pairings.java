package passhatch.lab;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import passhatch.Balancer.Server;

/**
 * Which copy uses which server, and how that moves when one server changes. Instances know nothing of each
 * other, so each is built, observed and dropped by itself, and only what was seen of it is kept.
 *
 * <p>Where a fleet is too large to build every instance, some are observed. As few copies use a given server,
 * each of those is shown changes of servers that it uses and of others, and both are weighed by how often
 * they come.
 */
final class Pairings {

    /** Changed servers of a run, where every copy is observed. */
    private static final int CHANGED = 5;
    /** Copies observed where not all are, and the servers that each uses and is shown to change. */
    static final int SAMPLED_COPIES = 16;
    private static final int SAMPLED_USED = 3;
    /** Copies that are restarted. */
    private static final int RESTARTED = 64;
    /** Calls of each copy from which its servers' load is counted; a multiple of the usual subset sizes. */
    private static final int CALLS = 840;

    /**
     * How the fleet took one change.
     *
     * @param users copies that used the server
     * @param fresh new pairings when it changed
     * @param freshAfter new pairings when that was over
     * @param returned share of the pairings before that are there again after
     */
    record Move(double users, double fresh, double freshAfter, double returned) {

        /** New pairings for each copy that used the server, at the change or its end, whichever had more. */
        double ratio() {
            double most = Math.max(fresh, freshAfter);
            return most == 0 ? 0 : most / Math.max(1, users);
        }
    }

    /** The same of one copy; the pairings that are there again are counted, and all before. */
    private record Seen(int changed, boolean used, int fresh, int freshAfter, int returned, int before) { }

    /** All that is kept of a copy. Its restart is null where it wasn't restarted. */
    private record Copy(Set<String> subset, Map<String, Integer> calls, Boolean keptOverRestart,
            Map<Change, List<Seen>> seen) { }

    private final Size size;
    private final long seed;
    private final boolean whole;
    private final int others;
    private final List<Server> list;
    private final List<Server> newcomers;
    private final List<Copy> copies;

    /**
     * Observes a fleet, on all cores.
     *
     * @param wholeUpTo copies x servers up to which every copy is observed
     * @param others beyond, the servers that a copy does not use and is shown to change
     */
    Pairings(Size size, long seed, long wholeUpTo, int others) {
        this.size = size;
        this.seed = seed;
        this.whole = size.cells() <= wholeUpTo;
        this.others = others;
        List<Server> all = Sites.servers(size.servers() + (whole ? CHANGED : others), seed);
        this.list = all.subList(0, size.servers());
        this.newcomers = all.subList(size.servers(), all.size());
        int observed = whole ? size.copies() : Math.min(size.copies(), SAMPLED_COPIES);
        this.copies = IntStream.range(0, observed).parallel()
                .mapToObj(i -> observe(i, observed)).toList();
    }

    private Copy observe(int index, int observed) {
        int copy = (int) ((long) index * size.copies() / observed);
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + copy);
        ObservedInstance instance = new ObservedInstance(size.copies(), copy, random.nextLong(), list);
        Set<String> subset = instance.settledSubset();
        Map<String, Integer> calls = instance.evenTraffic(CALLS);
        boolean restarted = index % Math.max(1, observed / RESTARTED) == 0;
        Boolean kept = restarted ? restart(copy, random).equals(subset) : null;
        return new Copy(subset, calls, kept, show(instance, whole ? changedForAll()
                : changedFor(subset, random)));
    }

    /** What the copy uses once it is started anew and told the list in another order. */
    private Set<String> restart(int copy, SplittableRandom random) {
        List<Server> otherOrder = Sites.shuffled(list, random.nextLong());
        return new ObservedInstance(size.copies(), copy, random.nextLong(), otherOrder).settledSubset();
    }

    /** Shows an instance every change, of one server after the other. */
    private Map<Change, List<Seen>> show(ObservedInstance instance, List<Server> changed) {
        Map<Change, List<Seen>> seen = new EnumMap<>(Change.class);
        Set<String> now = instance.settledSubset();
        for (Change change : Change.values()) {
            List<Seen> each = new ArrayList<>();
            for (Server server : change == Change.COMES ? newcomers : changed) {
                Set<String> before = now;
                Set<String> then = change.begin(instance, server);
                change.end(instance, server);
                now = instance.settledSubset();
                boolean used = (change == Change.COMES ? then : before).contains(server.id());
                each.add(new Seen(each.size(), used, without(then, before), without(now, then),
                        before.size() - without(before, now), before.size()));
            }
            seen.put(change, each);
        }
        return seen;
    }

    private List<Server> changedForAll() {
        return Sites.shuffled(list, seed).subList(0, Math.min(CHANGED, list.size()));
    }

    private List<Server> changedFor(Set<String> subset, SplittableRandom random) {
        List<Server> mixed = Sites.shuffled(list, random.nextLong());
        List<Server> changed = new ArrayList<>(
                mixed.stream().filter(s -> subset.contains(s.id())).limit(SAMPLED_USED).toList());
        mixed.stream().filter(s -> !subset.contains(s.id())).limit(others).forEach(changed::add);
        return changed;
    }

    /** How many of these are not among the others. */
    private static int without(Set<String> these, Set<String> others) {
        return (int) these.stream().filter(s -> !others.contains(s)).count();
    }

    /** Whether every copy was observed; else the moves are estimates, and no server's load is known. */
    boolean whole() {
        return whole;
    }

    /** Servers that a copy uses, on average. */
    double subsetSize() {
        return copies.stream().mapToInt(c -> c.subset().size()).average().orElseThrow();
    }

    /** The pairings of the server with the most, over the mean of all servers. */
    double busiestByPairings() {
        Map<String, Integer> users = new HashMap<>();
        copies.forEach(c -> c.subset().forEach(s -> users.merge(s, 1, Integer::sum)));
        return busiest(users);
    }

    /** The calls of the server with the most, over the mean, where every copy sends equally many, evenly. */
    double busiestByCalls() {
        Map<String, Integer> calls = new HashMap<>();
        copies.forEach(c -> c.calls().forEach((s, n) -> calls.merge(s, n, Integer::sum)));
        return busiest(calls);
    }

    private double busiest(Map<String, Integer> load) {
        long all = load.values().stream().mapToLong(Integer::longValue).sum();
        int most = load.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        return most / ((double) all / size.servers());
    }

    /** Share of the restarted copies that use the same servers after it, told in another order. */
    double keptOverRestart() {
        return copies.stream().filter(c -> c.keptOverRestart() != null)
                .mapToInt(c -> c.keptOverRestart() ? 1 : 0).average().orElseThrow();
    }

    /** How the fleet took the change: one entry for each changed server, or one estimate. */
    List<Move> moves(Change change) {
        List<Seen> seen = copies.stream().flatMap(c -> c.seen().get(change).stream()).toList();
        if (!whole) {
            return List.of(estimate(seen));
        }
        int servers = copies.get(0).seen().get(change).size();
        return IntStream.range(0, servers).mapToObj(i -> {
            List<Seen> one = seen.stream().filter(s -> s.changed() == i).toList();
            return new Move(one.stream().filter(Seen::used).count(),
                    one.stream().mapToInt(Seen::fresh).sum(),
                    one.stream().mapToInt(Seen::freshAfter).sum(), returned(one));
        }).toList();
    }

    private Move estimate(List<Seen> seen) {
        double used = subsetSize() / size.servers();
        return new Move(used * size.copies(), overFleet(seen, used, Seen::fresh),
                overFleet(seen, used, Seen::freshAfter), returned(seen));
    }

    /** What all copies together do, if this part of them uses a server. */
    private double overFleet(List<Seen> seen, double used, ToDoubleFunction<Seen> what) {
        double ofUsers = seen.stream().filter(Seen::used).mapToDouble(what).average().orElse(0);
        double ofOthers = seen.stream().filter(s -> !s.used()).mapToDouble(what).average().orElse(0);
        return size.copies() * (used * ofUsers + (1 - used) * ofOthers);
    }

    private static double returned(List<Seen> seen) {
        return seen.stream().mapToInt(Seen::returned).sum()
                / (double) Math.max(1, seen.stream().mapToInt(Seen::before).sum());
    }
}
