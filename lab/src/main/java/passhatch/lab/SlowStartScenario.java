package passhatch.lab;

import java.util.List;

/**
 * Some servers restart and warm up. A cold server fails when, for {@code overloadForUs}, it receives more
 * than {@code tipMultiple} times the calls that it can serve at its speed at that time. Within each window of
 * that length the calls from all replicas together are compared with this limit N, plus 2 * sqrt(N) + 2 calls
 * for random variation of the arrivals.
 */
final class SlowStartScenario implements Scenario {

    private static final int RESTARTED_AT_S = BASELINE_END_S + 5;
    private static final int WARM_AT_S = RESTARTED_AT_S
            + (int) Math.ceil(SampleDeployment.RULES.coldUs() / 1e6);
    private static final int MAX_RESTARTED_SERVERS = 5;

    @Override
    public List<Measurement> run(FleetSize size, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        List<SimulatedServer> restarted = fleet
                .drawServers(Math.max(1, Math.min(MAX_RESTARTED_SERVERS, size.servers() / 10)));
        fleet.runUntil(BASELINE_END_S);
        restarted.forEach(SimulatedServer::stop);
        fleet.announce(restarted);
        fleet.runUntil(RESTARTED_AT_S);
        restarted.forEach(SimulatedServer::start);
        fleet.announce(restarted);
        long startUs = fleet.loop().nowUs();
        List<SlidingWindowCounter> counters = restarted.stream()
                .map(s -> s.countArrivals(SampleDeployment.RULES.overloadForUs())).toList();
        fleet.runUntil(WARM_AT_S);
        double fairShareCalls = SimulatedFleet.CAPACITY_PER_S * SimulatedFleet.UTILISATION
                * (WARM_AT_S - RESTARTED_AT_S);
        double worstWindowRatio = counters.stream()
                .mapToDouble(c -> c.maxRatio(
                        (fromUs, toUs) -> allowedCalls(fromUs - startUs, toUs - startUs)))
                .max().orElseThrow();
        double fairShareRatio = counters.stream().mapToInt(SlidingWindowCounter::count).average()
                .orElseThrow() / fairShareCalls;
        return List.of(
                new Measurement("cold server: calls in its worst window / budget", "", worstWindowRatio),
                new Measurement("cold server: calls while cold / fair share", "", fairShareRatio));
    }

    /** Calls that a server may receive between two ages of its process, random variation included. */
    private static double allowedCalls(long fromUs, long toUs) {
        double expectedCalls = SampleDeployment.RULES.tipMultiple() * SimulatedFleet.CAPACITY_PER_S
                * (warmEquivalentSeconds(toUs) - warmEquivalentSeconds(fromUs));
        return expectedCalls + 2 * Math.sqrt(expectedCalls) + 2;
    }

    /**
     * Work that a server can do from its start to the given age, in seconds of a warm server's work: its
     * relative speed, which grows linearly while it is cold, integrated over time.
     */
    private static double warmEquivalentSeconds(long ageUs) {
        double initialSpeed = SampleDeployment.RULES.coldFrom();
        double warmUpElapsedS = Math.min(ageUs, SampleDeployment.RULES.coldUs()) / 1e6;
        double warmUpS = SampleDeployment.RULES.coldUs() / 1e6;
        return initialSpeed * warmUpElapsedS
                + (1 - initialSpeed) * warmUpElapsedS * warmUpElapsedS / (2 * warmUpS)
                + Math.max(0, ageUs / 1e6 - warmUpS);
    }
}
