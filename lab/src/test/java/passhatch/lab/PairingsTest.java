package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The short form of what {@code lab fleet} tells of pairings, against the bars of the plan. */
class PairingsTest {

    private static final double MOST_NEW = 2;
    private static final double BUSIEST = 1.3;
    private static final List<Pairings> FLEETS = List.of(
            new Pairings(new Size(100, 30), 1, Long.MAX_VALUE, 0),
            new Pairings(new Size(100, 300), 1, Long.MAX_VALUE, 0));

    @ParameterizedTest
    @EnumSource(names = {"DISABLED", "RESTS"})
    void aChangeOpensAtMostTwiceAsManyPairingsAsCopiesUsedTheServer(Change change) {
        for (Pairings fleet : FLEETS) {
            for (Pairings.Move move : fleet.moves(change)) {
                assertTrue(move.ratio() <= MOST_NEW, change + ": " + move);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void pairingsAreBackWhenTheChangeIsOver(Change change) {
        for (Pairings fleet : FLEETS) {
            for (Pairings.Move move : fleet.moves(change)) {
                assertEquals(1, move.returned(), change + ": " + move);
            }
        }
    }

    @Test
    void noServerHasFarMoreThanTheMean() {
        for (Pairings fleet : FLEETS) {
            assertTrue(fleet.busiestByPairings() <= BUSIEST, "pairings: " + fleet.busiestByPairings());
            assertTrue(fleet.busiestByCalls() <= BUSIEST, "calls: " + fleet.busiestByCalls());
        }
    }

    @Test
    void aCopyKeepsItsServersOverARestart() {
        for (Pairings fleet : FLEETS) {
            assertEquals(1, fleet.keptOverRestart());
        }
    }

    @Test
    void aSampleTellsWhatTheWholeFleetDoes() {
        Pairings whole = FLEETS.get(1);
        Pairings sample = new Pairings(new Size(100, 300), 1, 0, 15);
        assertEquals(whole.subsetSize(), sample.subsetSize(), 0.5);
        Pairings.Move rests = sample.moves(Change.RESTS).get(0);
        assertEquals(whole.subsetSize() * 100 / 300, rests.users(), 0.5);
        assertEquals(1, rests.ratio(), 0.1);
    }
}
