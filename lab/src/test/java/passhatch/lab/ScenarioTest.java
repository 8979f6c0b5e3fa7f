package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.lab.Scenario.Figure;

/** The short form of what {@code lab fleet} tells of traffic. */
class ScenarioTest {

    private static final Size SIZE = new Size(50, 30);

    private static Map<String, Double> play(Scenario scenario) {
        return scenario.play(SIZE, 1).stream()
                .collect(Collectors.toMap(Figure::name, Figure::value));
    }

    @Test
    void allCopiesTogetherKeepToAColdServersBudgetAndDoNotStarveIt() {
        Map<String, Double> figures = play(new ColdServers());
        assertTrue(figures.get("cold server: calls in its worst window / budget") <= 1, figures::toString);
        assertTrue(figures.get("cold server: calls while cold / fair share") >= 0.2, figures::toString);
        assertTrue(figures.get("cold server: calls while cold / fair share") <= 1, figures::toString);
    }

    @ParameterizedTest
    @EnumSource(names = "WELL", mode = EnumSource.Mode.EXCLUDE)
    void extraAttemptsAreBoundedWhileAQuarterOfTheServersFails(SimulatedServer.State how) {
        Map<String, Double> figures = play(new FailingServers(4, how));
        String name = "1 in 4 " + how.name().toLowerCase(Locale.ROOT) + ": ";
        double before = figures.get(name + "extra attempts a request before");
        double later = figures.get(name + "extra attempts a request, 5 to 20 s");
        assertTrue(later <= before + 0.1, figures::toString);
        assertTrue(figures.get(name + "extra attempts a request, peak second") <= 0.5, figures::toString);
        assertTrue(figures.get(name + "requests not served") <= 0.1, figures::toString);
    }

    @Test
    void theFleetIsCalmAgainAfterAZoneIsBack() {
        Map<String, Double> figures = play(new ZoneLoss());
        assertTrue(Double.isFinite(figures.get("zone goes: until all are served again")), figures::toString);
        assertTrue(Double.isFinite(figures.get("zone back: until calm again")), figures::toString);
        assertTrue(figures.get("zone goes: not served, worst second") <= 0.1, figures::toString);
    }

    @Test
    void aSeedGivesTheSameFiguresAndAnotherSeedOthers() {
        Scenario scenario = new ColdServers();
        assertEquals(scenario.play(SIZE, 1), scenario.play(SIZE, 1));
        assertTrue(!scenario.play(SIZE, 1).equals(scenario.play(SIZE, 2)));
    }
}
