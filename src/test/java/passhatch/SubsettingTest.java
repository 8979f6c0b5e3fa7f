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

/** What holds for the subsets of all replicas together. */
class SubsettingTest {

    private static List<String> ids(int servers) {
        return IntStream.range(0, servers).mapToObj(i -> "10.0." + i / 250 + "." + i % 250 + ":80").toList();
    }

    private static List<ServerState> backends(List<String> ids) {
        return ids.stream().map(ServerState::new).toList();
    }

    private static Set<String> subset(int replica, int replicas, List<String> ids, int wanted) {
        Subsetting s = new Subsetting(replica, replicas);
        s.change(List.of(), backends(ids), wanted);
        return Set.copyOf(s.members().stream().map(b -> b.id).toList());
    }

    /** The replicas of each server. */
    private static Map<String, Set<Integer>> users(int replicas, List<String> ids, int wanted) {
        Map<String, Set<Integer>> users = new HashMap<>();
        ids.forEach(id -> users.put(id, new HashSet<>()));
        for (int r = 0; r < replicas; r++) {
            for (String id : subset(r, replicas, ids, wanted)) {
                users.get(id).add(r);
            }
        }
        return users;
    }

    @ParameterizedTest
    @CsvSource({"30, 100, 4", "300, 100, 7", "100, 300, 4", "400, 40, 24"})
    void oneServerThatGoesMovesLittleMoreThanItsOwnReplicas(int servers, int replicas, int wanted) {
        List<String> ids = ids(servers);
        Map<String, Set<Integer>> before = users(replicas, ids, wanted);
        List<Integer> many = before.values().stream().map(Set::size).toList();
        double mean = many.stream().mapToInt(n -> n).average().orElseThrow();
        assertTrue(Collections.max(many) <= 1.3 * mean, "busiest " + Collections.max(many) + " of " + mean);
        assertTrue(Collections.min(many) >= Math.floor(0.7 * mean), "fewest " + Collections.min(many));
        int used = 0;
        int opened = 0;
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 60; i++) {
            List<String> left = new ArrayList<>(ids);
            String gone = left.remove(random.nextInt(servers));
            used += before.get(gone).size();
            Map<String, Set<Integer>> after = users(replicas, left, wanted);
            for (String id : left) {
                after.get(id).removeAll(before.get(id));
                opened += after.get(id).size();
            }
        }
        assertTrue(opened <= 2 * used, opened + " pairings opened where " + used + " had ended");
    }

    @Test
    void theSubsetDependsOnTheListAloneNotOnItsOrderOrHistory() {
        List<String> ids = ids(80);
        List<String> turned = new ArrayList<>(ids);
        Collections.reverse(turned);
        Set<String> expected = subset(3, 50, ids, 5);
        assertEquals(expected, subset(3, 50, turned, 5));
        Subsetting grown = new Subsetting(3, 50);
        List<ServerState> all = backends(ids);
        List<ServerState> passing = backends(List.of("10.1.0.1:80", "10.1.0.2:80"));
        grown.change(List.of(), passing, 5);
        grown.change(List.of(), all.subList(40, 80), 5);
        grown.change(passing.subList(0, 1), all.subList(0, 40), 5);
        grown.change(passing.subList(1, 2), List.of(), 5);
        assertEquals(expected, Set.copyOf(grown.members().stream().map(b -> b.id).toList()));
    }

    @Test
    void othersStandInOnceEachAfterTheMembers() {
        Subsetting s = new Subsetting(0, 50);
        s.change(List.of(), backends(ids(80)), 5);
        List<ServerState> all = s.all();
        assertEquals(s.members(), all.subList(0, s.members().size()));
        assertEquals(80, new HashSet<>(all).size());
        assertEquals(80, all.size());
    }

    @ParameterizedTest
    @CsvSource({"0, 4, 0", "1, 4, 1", "3, 4, 3", "5, 9, 5"})
    void fewServersAreAllUsed(int servers, int wanted, int expected) {
        assertEquals(expected, subset(1, 3, ids(servers), wanted).size());
    }
}
