package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the pairings of replicas and servers that {@code lab fleet} measures, at small sizes, against the
 * limits that the fleet has to keep.
 */
class FleetSubsetsTest {

    private static final double MAX_NEW_PAIRINGS_PER_USER = 2;
    private static final double MAX_TO_MEAN = 1.3;
    private static final List<FleetSubsets> FLEETS = List.of(
            new FleetSubsets(new FleetSize(100, 30), 1, Long.MAX_VALUE, 0),
            new FleetSubsets(new FleetSize(100, 300), 1, Long.MAX_VALUE, 0));

    @ParameterizedTest
    @EnumSource(names = {"DISABLED", "RESTS"})
    void aChangeCausesAtMostTwiceAsManyPairingsAsReplicasUsedTheServer(ServerChange change) {
        for (FleetSubsets fleet : FLEETS) {
            for (FleetSubsets.ChangeEffect effect : fleet.effects(change)) {
                assertTrue(effect.newPairingsPerUser() <= MAX_NEW_PAIRINGS_PER_USER, change + ": " + effect);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void pairingsReturnWhenTheChangeIsReverted(ServerChange change) {
        for (FleetSubsets fleet : FLEETS) {
            for (FleetSubsets.ChangeEffect effect : fleet.effects(change)) {
                assertEquals(1, effect.returnedShare(), change + ": " + effect);
            }
        }
    }

    @Test
    void noServerHasFarMoreLoadThanTheMean() {
        for (FleetSubsets fleet : FLEETS) {
            assertTrue(fleet.maxToMeanPairings() <= MAX_TO_MEAN, "pairings: " + fleet.maxToMeanPairings());
            assertTrue(fleet.maxToMeanCalls() <= MAX_TO_MEAN, "calls: " + fleet.maxToMeanCalls());
        }
    }

    @Test
    void aReplicaKeepsItsServersAcrossARestart() {
        for (FleetSubsets fleet : FLEETS) {
            assertEquals(1, fleet.keptAcrossRestart());
        }
    }

    @Test
    void aSampleEstimatesTheWholeFleet() {
        FleetSubsets complete = FLEETS.get(1);
        FleetSubsets sample = new FleetSubsets(new FleetSize(100, 300), 1, 0, 15);
        assertEquals(complete.subsetSize(), sample.subsetSize(), 0.5);
        FleetSubsets.ChangeEffect ejection = sample.effects(ServerChange.RESTS).get(0);
        assertEquals(complete.subsetSize() * 100 / 300, ejection.users(), 0.5);
        assertEquals(1, ejection.newPairingsPerUser(), 0.1);
    }
}
