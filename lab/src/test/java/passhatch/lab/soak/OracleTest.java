package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import passhatch.lab.soak.Oracle.Rule;
import passhatch.lab.soak.Oracle.Violation;
import passhatch.lab.soak.RunObservations.Arrival;
import passhatch.lab.soak.RunObservations.Removal;
import passhatch.lab.soak.RunObservations.RequestOutcome;
import passhatch.lab.soak.RunObservations.Sent;

/** For each rule of the oracle, observations that violate it and others that are just within its limits. */
final class OracleTest {

    private static final long SECOND_NS = 1_000_000_000L;
    private final RunObservations observations = new RunObservations();

    private List<Rule> brokenRules() {
        return brokenRules(Map.of());
    }

    private List<Rule> brokenRules(Map<Integer, List<Long>> killTimesNs) {
        return new Oracle(observations, killTimesNs).check().stream().map(Violation::rule).distinct()
                .toList();
    }

    private void addRequest(RequestKind kind, boolean firstOnConnection, RequestOutcome outcome,
            double endedS) {
        observations.add(new Sent("r", 0, kind, firstOnConnection, 0, 2 * SECOND_NS, outcome,
                outcome == RequestOutcome.ANSWERED ? 200 : 0,
                (long) (endedS * SECOND_NS)));
    }

    private void addArrival(double atS, double leftS, boolean mayHaveRun) {
        observations.add(new Arrival("r", "s", (long) (atS * SECOND_NS), (long) (leftS * SECOND_NS),
                mayHaveRun));
    }

    @Test
    void aRequestWithoutAResponseIsLostUnlessItsProxyWasKilled() {
        addRequest(RequestKind.READ, true, RequestOutcome.NO_ANSWER, 2.5);
        assertEquals(List.of(Rule.LOST), brokenRules());
        assertEquals(List.of(), brokenRules(Map.of(0, List.of(SECOND_NS))));
        assertEquals(List.of(Rule.LOST), brokenRules(Map.of(1, List.of(SECOND_NS))));
    }

    @Test
    void aClosedConnectionLosesARequestOnlyIfItWasForwardedOrTheConnectionIsNew() {
        addRequest(RequestKind.READ, false, RequestOutcome.CLOSED, 1);
        assertEquals(List.of(), brokenRules());
        addArrival(0.5, 1, true);
        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void anUnsafeRequestRunsTwiceOnlyAfterAnAttemptThatNeverRan() {
        addRequest(RequestKind.UNSAFE, true, RequestOutcome.ANSWERED, 1);
        addArrival(0.1, 1, false);
        addArrival(0.2, 1, true);
        assertEquals(List.of(), brokenRules());
        addArrival(0.3, 1, true);
        assertEquals(List.of(Rule.DUPLICATE), brokenRules());
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyWithinItsWindow() {
        addRequest(RequestKind.KEYED, true, RequestOutcome.ANSWERED, 2);
        addArrival(0.1, 1, true);
        addArrival(0.9, 1, true);
        assertEquals(List.of(), brokenRules());
        addArrival(1.4, 0.5, true);
        assertEquals(List.of(Rule.DUPLICATE), brokenRules());
    }

    @Test
    void noAttemptArrivesAfterTheClientDisconnected() {
        addRequest(RequestKind.READ, true, RequestOutcome.LEFT, 0.5);
        addArrival(0.7, 1, true);
        assertEquals(List.of(), brokenRules());
        addArrival(0.9, 1, true);
        assertEquals(List.of(Rule.AFTER_CLIENT_LEFT), brokenRules());
    }

    @Test
    void anAttemptCarriesAtMostTheTimeLeftOfItsClient() {
        addRequest(RequestKind.READ, true, RequestOutcome.ANSWERED, 1.9);
        addArrival(0.5, 1.8, true);
        assertEquals(List.of(), brokenRules());
        addArrival(0.5, 2.0, true);
        assertEquals(List.of(Rule.DEADLINE), brokenRules());
    }

    @Test
    void aRemovedServerGetsNoAttemptAfterNotificationDelayAndDrainGrace() {
        addRequest(RequestKind.READ, true, RequestOutcome.ANSWERED, 30);
        observations.add(new Removal("s", 0, 20 * SECOND_NS));
        addArrival(8.6, -30, true);
        addArrival(21, -30, true);
        assertEquals(List.of(), brokenRules());
        addArrival(8.9, -30, true);
        assertEquals(List.of(Rule.DRAIN), brokenRules());
        observations.addOutage(SECOND_NS, 3 * SECOND_NS);
        assertEquals(List.of(), brokenRules());
        assertEquals(Duration.ofSeconds(6), Oracle.MAX_NOTIFICATION_DELAY);
    }
}
