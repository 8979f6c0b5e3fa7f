package passhatch.lab;

import java.util.List;
import java.util.Locale;

/** Some of the servers fail for a while, and discovery lists them as up all the time. */
final class FailingServersScenario implements Scenario {

    private static final int ONSET_END_S = BASELINE_END_S + 5;
    private static final int FAILURE_END_S = BASELINE_END_S + 20;

    private final int oneIn;
    private final SimulatedServer.State failure;

    /**
     * A scenario with failing servers.
     *
     * @param oneIn one server in so many fails
     * @param failure how they fail
     */
    FailingServersScenario(int oneIn, SimulatedServer.State failure) {
        this.oneIn = oneIn;
        this.failure = failure;
    }

    @Override
    public List<Measurement> run(FleetSize size, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        List<SimulatedServer> failing = fleet.drawServers(size.servers() / oneIn);
        fleet.runUntil(BASELINE_END_S);
        failing.forEach(s -> s.setState(failure));
        fleet.runUntil(FAILURE_END_S);
        // Requests of the last second may end as late as their deadline.
        fleet.runUntil(FAILURE_END_S + (int) (SampleDeployment.DEADLINE_US / 1_000_000) + 1);
        List<TrafficStatistics.Interval> duringFailure = fleet.statistics()
                .between(BASELINE_END_S, FAILURE_END_S);
        String prefix = "1 in " + oneIn + " " + failure.name().toLowerCase(Locale.ROOT) + ": ";
        return List.of(
                extraAttempts(prefix + "extra attempts a request before",
                fleet.statistics().between(BASELINE_START_S, BASELINE_END_S)),
                extraAttempts(prefix + "extra attempts a request, first 5 s",
                        fleet.statistics().between(BASELINE_END_S, ONSET_END_S)),
                extraAttempts(prefix + "extra attempts a request, 5 to 20 s",
                        fleet.statistics().between(ONSET_END_S, FAILURE_END_S)),
                new Measurement(prefix + "extra attempts a request, peak second", "", duringFailure.stream()
                        .mapToDouble(TrafficStatistics.Interval::extraAttempts).max().orElseThrow()),
                new Measurement(prefix + "requests not served", "",
                TrafficStatistics.sum(duringFailure).unservedShare()));
    }

    private static Measurement extraAttempts(String name, List<TrafficStatistics.Interval> intervals) {
        return new Measurement(name, "", TrafficStatistics.sum(intervals).extraAttempts());
    }
}
