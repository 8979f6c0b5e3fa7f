package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.lab.Scenario.Measurement;

/** Checks the traffic scenarios that {@code lab fleet} runs, at a small size. */
class ScenarioTest {

    private static final FleetSize SIZE = new FleetSize(50, 30);

    private static Map<String, Double> run(Scenario scenario) {
        return scenario.run(SIZE, 1).stream()
                .collect(Collectors.toMap(Measurement::name, Measurement::value));
    }

    @Test
    void replicasTogetherKeepToAColdServersBudgetWithoutStarvingIt() {
        Map<String, Double> measurements = run(new SlowStartScenario());
        assertTrue(measurements.get("cold server: calls in its worst window / budget") <= 1,
                measurements::toString);
        assertTrue(measurements.get("cold server: calls while cold / fair share") >= 0.2,
                measurements::toString);
        assertTrue(measurements.get("cold server: calls while cold / fair share") <= 1,
                measurements::toString);
    }

    @ParameterizedTest
    @EnumSource(names = "WELL", mode = EnumSource.Mode.EXCLUDE)
    void extraAttemptsAreBoundedWhileAQuarterOfTheServersFails(SimulatedServer.State failure) {
        Map<String, Double> measurements = run(new FailingServersScenario(4, failure));
        String prefix = "1 in 4 " + failure.name().toLowerCase(Locale.ROOT) + ": ";
        double before = measurements.get(prefix + "extra attempts a request before");
        double later = measurements.get(prefix + "extra attempts a request, 5 to 20 s");
        assertTrue(later <= before + 0.1, measurements::toString);
        assertTrue(measurements.get(prefix + "extra attempts a request, peak second") <= 0.5,
                measurements::toString);
        assertTrue(measurements.get(prefix + "requests not served") <= 0.1, measurements::toString);
    }

    @Test
    void theFleetIsCalmAgainAfterAZoneReturns() {
        Map<String, Double> measurements = run(new ZoneLossScenario());
        assertTrue(Double.isFinite(measurements.get("zone goes: until all are served again")),
                measurements::toString);
        assertTrue(Double.isFinite(measurements.get("zone back: until calm again")), measurements::toString);
        assertTrue(measurements.get("zone goes: not served, worst second") <= 0.1, measurements::toString);
    }

    @Test
    void equalSeedsGiveEqualMeasurementsAndDifferentSeedsDifferentOnes() {
        Scenario scenario = new SlowStartScenario();
        assertEquals(scenario.run(SIZE, 1), scenario.run(SIZE, 1));
        assertTrue(!scenario.run(SIZE, 1).equals(scenario.run(SIZE, 2)));
    }
}
