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
 * The servers that each replica of a fleet uses, and how these subsets change when one server changes. A
 * pairing is a replica together with a server that it uses. Replicas don't communicate, so that each is
 * created, observed and discarded on its own, and only the observations are kept.
 *
 * <p>In a fleet that is too large to create every replica, a sample is observed. As only few replicas use a
 * given server, each replica of the sample is shown changes of servers that it uses and of servers that it
 * does not use, and the means of both kinds are weighted by the share of replicas that use a server.
 */
final class FleetSubsets {

    /** Number of servers that change in a run in which every replica is observed. */
    private static final int CHANGED_SERVERS = 5;
    /** Number of replicas in a sample. */
    static final int SAMPLED_REPLICAS = 16;
    /** Number of servers that change for each replica of a sample, of those that it uses. */
    private static final int USED_SERVERS_CHANGED = 3;
    /** Approximate number of replicas that are restarted. */
    private static final int RESTARTED_REPLICAS = 64;
    /**
     * Calls that each replica sends to measure the load of its servers; a multiple of common subset sizes.
     */
    private static final int CALLS_PER_REPLICA = 840;

    /**
     * The effect of one change on the pairings of the fleet.
     *
     * @param users number of replicas that used the server
     * @param newPairings pairings that were new after the change
     * @param newPairingsAfter pairings that were new after the change was reverted
     * @param returnedShare share of the pairings before the change that exist after it was reverted, 0 to 1
     */
    record ChangeEffect(double users, double newPairings, double newPairingsAfter, double returnedShare) {

        /**
         * New pairings divided by the replicas that used the server, after the change or after it was
         * reverted, whichever is greater.
         */
        double newPairingsPerUser() {
            double maxNewPairings = Math.max(newPairings, newPairingsAfter);
            return maxNewPairings == 0 ? 0 : maxNewPairings / Math.max(1, users);
        }
    }

    /**
     * The effect of one change on one replica. Pairings are counts; {@code used} is about the changed server.
     */
    private record Observation(int serverIndex, boolean used, int newPairings, int newPairingsAfter,
            int returnedPairings, int pairingsBefore) { }

    /** All observations of one replica; {@code keptAcrossRestart} is null if it was not restarted. */
    private record ReplicaObservations(Set<String> subset, Map<String, Integer> callsByServer,
            Boolean keptAcrossRestart, Map<ServerChange, List<Observation>> observations) { }

    private final FleetSize size;
    private final long seed;
    private final boolean allObserved;
    private final int unusedServersChanged;
    private final List<Server> list;
    private final List<Server> addedServers;
    private final List<ReplicaObservations> replicas;

    /**
     * Observes a fleet, using all cores.
     *
     * @param seed of the servers and of the replicas; the same seed gives the same observations
     * @param maxObservedPairs replicas times servers up to which every replica is observed; above, a sample
     * @param unusedServersChanged number of servers that change for each replica of a sample, of those that
     *     it does not use
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
                observeChanges(replica,
                        allObserved ? changedServersForAll() : changedServersFor(subset, random)));
    }

    /** Returns the subset of a replica that is restarted and gets the list in another order. */
    private Set<String> subsetAfterRestart(int replicaIndex, SplittableRandom random) {
        List<Server> otherOrder = SampleDeployment.shuffled(list, random.nextLong());
        return new ObservedReplica(size.replicas(), replicaIndex, random.nextLong(), otherOrder)
                .settledSubset();
    }

    /** Applies and reverts each kind of change for each of the servers, one after another. */
    private Map<ServerChange, List<Observation>> observeChanges(ObservedReplica replica,
            List<Server> changedServers) {
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

    /** Counts the servers that are not among the others. */
    private static int countNotIn(Set<String> servers, Set<String> others) {
        return (int) servers.stream().filter(s -> !others.contains(s)).count();
    }

    /**
     * Whether every replica was observed; else the effects are estimates, and the load of servers is unknown.
     */
    boolean allObserved() {
        return allObserved;
    }

    /** Returns the mean number of servers that a replica uses. */
    double subsetSize() {
        return replicas.stream().mapToInt(c -> c.subset().size()).average().orElseThrow();
    }

    /** Returns the pairings of the server that has most, divided by the mean over all servers. */
    double maxToMeanPairings() {
        Map<String, Integer> users = new HashMap<>();
        replicas.forEach(c -> c.subset().forEach(s -> users.merge(s, 1, Integer::sum)));
        return maxToMean(users);
    }

    /**
     * Returns the calls of the server that receives most, divided by the mean over all servers. Every replica
     * sends the same number of calls, at equal intervals.
     */
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

    /**
     * Returns the share, 0 to 1, of the restarted replicas that use the same servers after the restart,
     * although they get the list in another order.
     */
    double keptAcrossRestart() {
        return replicas.stream().filter(c -> c.keptAcrossRestart() != null)
                .mapToInt(c -> c.keptAcrossRestart() ? 1 : 0).average().orElseThrow();
    }

    /** Returns the effects of a kind of change: one for each changed server, or a single estimate. */
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

    /** Extrapolates a count from the sample to the fleet, of whose replicas the given share uses a server. */
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
