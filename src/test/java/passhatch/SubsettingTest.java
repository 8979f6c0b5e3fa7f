package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Properties of the subsets of all replicas together: even use of servers, few changes when a server is
 * removed, and independence of the order and history of the list.
 */
class SubsettingTest {

    private static List<String> ids(int servers) {
        return IntStream.range(0, servers).mapToObj(i -> "10.0." + i / 250 + "." + i % 250 + ":80").toList();
    }

    private static List<ServerState> serverStates(List<String> ids) {
        return ids.stream().map(ServerState::new).toList();
    }

    private static Set<String> subset(int replica, int replicas, List<String> ids, int subsetSize) {
        Subsetting subsetting = new Subsetting(replica, replicas);
        subsetting.update(List.of(), serverStates(ids), subsetSize);
        return Set.copyOf(subsetting.members().stream().map(server -> server.id).toList());
    }

    /** The indices of the replicas that use each server. */
    private static Map<String, Set<Integer>> replicasByServer(int replicas, List<String> ids,
            int subsetSize) {
        Map<String, Set<Integer>> replicasByServer = new HashMap<>();
        ids.forEach(id -> replicasByServer.put(id, new HashSet<>()));
        for (int replica = 0; replica < replicas; replica++) {
            for (String id : subset(replica, replicas, ids, subsetSize)) {
                replicasByServer.get(id).add(replica);
            }
        }
        return replicasByServer;
    }

    @ParameterizedTest
    @CsvSource({"30, 100, 4", "300, 100, 7", "100, 300, 4", "400, 40, 24"})
    void removingAServerReassignsFewOtherReplicas(int servers, int replicas, int subsetSize) {
        List<String> ids = ids(servers);
        Map<String, Set<Integer>> before = replicasByServer(replicas, ids, subsetSize);
        List<Integer> replicaCounts = before.values().stream().map(Set::size).toList();
        double mean = replicaCounts.stream().mapToInt(n -> n).average().orElseThrow();
        assertTrue(Collections.max(replicaCounts) <= 1.3 * mean,
                "most replicas of a server: " + Collections.max(replicaCounts) + ", mean " + mean);
        assertTrue(Collections.min(replicaCounts) >= Math.floor(0.7 * mean),
                "fewest replicas of a server: " + Collections.min(replicaCounts));
        int endedAssignments = 0;
        int newAssignments = 0;
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 60; i++) {
            List<String> remaining = new ArrayList<>(ids);
            String removed = remaining.remove(random.nextInt(servers));
            endedAssignments += before.get(removed).size();
            Map<String, Set<Integer>> after = replicasByServer(replicas, remaining, subsetSize);
            for (String id : remaining) {
                after.get(id).removeAll(before.get(id));
                newAssignments += after.get(id).size();
            }
        }
        assertTrue(newAssignments <= 2 * endedAssignments,
                newAssignments + " assignments added where " + endedAssignments + " were removed");
    }

    @Test
    void theSubsetDependsOnTheListAloneNotOnItsOrderOrHistory() {
        List<String> ids = ids(80);
        List<String> reversed = new ArrayList<>(ids);
        Collections.reverse(reversed);
        Set<String> expected = subset(3, 50, ids, 5);
        assertEquals(expected, subset(3, 50, reversed, 5));
        Subsetting updated = new Subsetting(3, 50);
        List<ServerState> servers = serverStates(ids);
        List<ServerState> temporary = serverStates(List.of("10.1.0.1:80", "10.1.0.2:80"));
        updated.update(List.of(), temporary, 5);
        updated.update(List.of(), servers.subList(40, 80), 5);
        updated.update(temporary.subList(0, 1), servers.subList(0, 40), 5);
        updated.update(temporary.subList(1, 2), List.of(), 5);
        assertEquals(expected, Set.copyOf(updated.members().stream().map(server -> server.id).toList()));
    }

    @Test
    void allServersAreMembersFirstThenEachOtherServerOnce() {
        Subsetting subsetting = new Subsetting(0, 50);
        subsetting.update(List.of(), serverStates(ids(80)), 5);
        List<ServerState> allServers = subsetting.allServers();
        assertEquals(subsetting.members(), allServers.subList(0, subsetting.members().size()));
        assertEquals(80, new HashSet<>(allServers).size());
        assertEquals(80, allServers.size());
    }

    @ParameterizedTest
    @CsvSource({"0, 4, 0", "1, 4, 1", "3, 4, 3", "5, 9, 5"})
    void fewServersAreAllUsed(int servers, int subsetSize, int expected) {
        assertEquals(expected, subset(1, 3, ids(servers), subsetSize).size());
    }
}
