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
final class FleetSubsets {

    /** Changed servers of a run, where every copy is observed. */
    private static final int CHANGED_SERVERS = 5;
    /** Copies observed where not all are, and the servers that each uses and is shown to change. */
    static final int SAMPLED_REPLICAS = 16;
    private static final int USED_SERVERS_CHANGED = 3;
    /** Copies that are restarted. */
    private static final int RESTARTED_REPLICAS = 64;
    /** Calls of each copy from which its servers' load is counted; a multiple of the usual subset sizes. */
    private static final int CALLS_PER_REPLICA = 840;

    /**
     * How the fleet took one change.
     *
     * @param users copies that used the server
     * @param newPairings new pairings when it changed
     * @param newPairingsAfter new pairings when that was over
     * @param returnedShare share of the pairings before that are there again after
     */
    record ChangeEffect(double users, double newPairings, double newPairingsAfter, double returnedShare) {

        /** New pairings for each copy that used the server, at the change or its end, whichever had more. */
        double newPairingsPerUser() {
            double most = Math.max(newPairings, newPairingsAfter);
            return most == 0 ? 0 : most / Math.max(1, users);
        }
    }

    /** The same of one copy; the pairings that are there again are counted, and all before. */
    private record Observation(int serverIndex, boolean used, int newPairings, int newPairingsAfter,
            int returnedPairings, int pairingsBefore) { }

    /** All that is kept of a copy. Its restart is null where it wasn't restarted. */
    private record ReplicaObservations(Set<String> subset, Map<String, Integer> callsByServer,
            Boolean keptAcrossRestart,
            Map<ServerChange, List<Observation>> observations) { }

    private final FleetSize size;
    private final long seed;
    private final boolean allObserved;
    private final int unusedServersChanged;
    private final List<Server> list;
    private final List<Server> addedServers;
    private final List<ReplicaObservations> replicas;

    /**
     * Observes a fleet, on all cores.
     *
     * @param maxObservedPairs copies x servers up to which every copy is observed
     * @param unusedServersChanged beyond, the servers that a copy does not use and is shown to change
     */
    FleetSubsets(FleetSize size, long seed, long maxObservedPairs, int unusedServersChanged) {
        this.size = size;
        this.seed = seed;
        this.allObserved = size.pairCount() <= maxObservedPairs;
        this.unusedServersChanged = unusedServersChanged;
        List<Server> all = SampleDeployment
                .servers(size.servers() + (allObserved ? CHANGED_SERVERS : unusedServersChanged), seed);
        this.list = all.subList(0, size.servers());
        this.addedServers = all.subList(size.servers(), all.size());
        int observedReplicas = allObserved ? size.replicas() : Math.min(size.replicas(), SAMPLED_REPLICAS);
        this.replicas = IntStream.range(0, observedReplicas).parallel()
                .mapToObj(i -> observe(i, observedReplicas)).toList();
    }

    private ReplicaObservations observe(int index, int observedReplicas) {
        int replicaIndex = (int) ((long) index * size.replicas() / observedReplicas);
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + replicaIndex);
        ObservedReplica replica = new ObservedReplica(size.replicas(), replicaIndex, random.nextLong(), list);
        Set<String> subset = replica.settledSubset();
        Map<String, Integer> callsByServer = replica.sendEvenTraffic(CALLS_PER_REPLICA);
        boolean restarted = index % Math.max(1, observedReplicas / RESTARTED_REPLICAS) == 0;
        Boolean keptAcrossRestart = restarted ? subsetAfterRestart(replicaIndex, random).equals(subset)
                : null;
        return new ReplicaObservations(subset, callsByServer, keptAcrossRestart,
                observeChanges(replica, allObserved ? changedServersForAll()
                : changedServersFor(subset, random)));
    }

    /** What the copy uses once it is started anew and told the list in another order. */
    private Set<String> subsetAfterRestart(int replicaIndex, SplittableRandom random) {
        List<Server> otherOrder = SampleDeployment.shuffled(list, random.nextLong());
        return new ObservedReplica(size.replicas(), replicaIndex, random.nextLong(), otherOrder)
                .settledSubset();
    }

    /** Shows an instance every change, of one server after the other. */
    private Map<ServerChange,
            List<Observation>> observeChanges(ObservedReplica replica, List<Server> changedServers) {
        Map<ServerChange, List<Observation>> observations = new EnumMap<>(ServerChange.class);
        Set<String> currentSubset = replica.settledSubset();
        for (ServerChange change : ServerChange.values()) {
            List<Observation> ofChange = new ArrayList<>();
            for (Server server : change == ServerChange.COMES ? addedServers : changedServers) {
                Set<String> subsetBefore = currentSubset;
                Set<String> subsetDuring = change.apply(replica, server);
                change.revert(replica, server);
                currentSubset = replica.settledSubset();
                boolean used = (change == ServerChange.COMES ? subsetDuring : subsetBefore)
                        .contains(server.id());
                ofChange.add(new Observation(ofChange.size(), used, countNotIn(subsetDuring, subsetBefore),
                        countNotIn(currentSubset, subsetDuring),
                        subsetBefore.size() - countNotIn(subsetBefore, currentSubset), subsetBefore.size()));
            }
            observations.put(change, ofChange);
        }
        return observations;
    }

    private List<Server> changedServersForAll() {
        return SampleDeployment.shuffled(list, seed).subList(0, Math.min(CHANGED_SERVERS, list.size()));
    }

    private List<Server> changedServersFor(Set<String> subset, SplittableRandom random) {
        List<Server> shuffled = SampleDeployment.shuffled(list, random.nextLong());
        List<Server> changed = new ArrayList<>(
                shuffled.stream().filter(s -> subset.contains(s.id())).limit(USED_SERVERS_CHANGED).toList());
        shuffled.stream().filter(s -> !subset.contains(s.id())).limit(unusedServersChanged)
                .forEach(changed::add);
        return changed;
    }

    /** How many of these are not among the others. */
    private static int countNotIn(Set<String> servers, Set<String> others) {
        return (int) servers.stream().filter(s -> !others.contains(s)).count();
    }

    /** Whether every copy was observed; else the moves are estimates, and no server's load is known. */
    boolean allObserved() {
        return allObserved;
    }

    /** Servers that a copy uses, on average. */
    double subsetSize() {
        return replicas.stream().mapToInt(c -> c.subset().size()).average().orElseThrow();
    }

    /** The pairings of the server with the most, over the mean of all servers. */
    double maxToMeanPairings() {
        Map<String, Integer> users = new HashMap<>();
        replicas.forEach(c -> c.subset().forEach(s -> users.merge(s, 1, Integer::sum)));
        return maxToMean(users);
    }

    /** The calls of the server with the most, over the mean, where every copy sends equally many, evenly. */
    double maxToMeanCalls() {
        Map<String, Integer> calls = new HashMap<>();
        replicas.forEach(c -> c.callsByServer().forEach((s, n) -> calls.merge(s, n, Integer::sum)));
        return maxToMean(calls);
    }

    private double maxToMean(Map<String, Integer> loadByServer) {
        long total = loadByServer.values().stream().mapToLong(Integer::longValue).sum();
        int max = loadByServer.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        return max / ((double) total / size.servers());
    }

    /** Share of the restarted copies that use the same servers after it, told in another order. */
    double keptAcrossRestart() {
        return replicas.stream().filter(c -> c.keptAcrossRestart() != null)
                .mapToInt(c -> c.keptAcrossRestart() ? 1 : 0).average().orElseThrow();
    }

    /** How the fleet took the change: one entry for each changed server, or one estimate. */
    List<ChangeEffect> effects(ServerChange change) {
        List<Observation> observations = replicas.stream()
                .flatMap(c -> c.observations().get(change).stream()).toList();
        if (!allObserved) {
            return List.of(estimate(observations));
        }
        int changedServers = replicas.get(0).observations().get(change).size();
        return IntStream.range(0, changedServers).mapToObj(i -> {
            List<Observation> ofServer = observations.stream().filter(s -> s.serverIndex() == i).toList();
            return new ChangeEffect(ofServer.stream().filter(Observation::used).count(),
                    ofServer.stream().mapToInt(Observation::newPairings).sum(),
                    ofServer.stream().mapToInt(Observation::newPairingsAfter).sum(), returnedShare(ofServer));
        }).toList();
    }

    private ChangeEffect estimate(List<Observation> observations) {
        double usingShare = subsetSize() / size.servers();
        return new ChangeEffect(usingShare * size.replicas(),
                extrapolate(observations, usingShare, Observation::newPairings),
                extrapolate(observations, usingShare, Observation::newPairingsAfter),
                returnedShare(observations));
    }

    /** What all copies together do, if this part of them uses a server. */
    private double extrapolate(List<Observation> observations, double usingShare,
            ToDoubleFunction<Observation> value) {
        double meanOfUsers = observations.stream().filter(Observation::used).mapToDouble(value).average()
                .orElse(0);
        double meanOfOthers = observations.stream().filter(s -> !s.used()).mapToDouble(value).average()
                .orElse(0);
        return size.replicas() * (usingShare * meanOfUsers + (1 - usingShare) * meanOfOthers);
    }

    private static double returnedShare(List<Observation> observations) {
        return observations.stream().mapToInt(Observation::returnedPairings).sum()
                / (double) Math.max(1, observations.stream().mapToInt(Observation::pairingsBefore).sum());
    }
}
