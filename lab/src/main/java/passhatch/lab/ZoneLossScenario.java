package passhatch.lab;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * All servers of a zone, a third of the fleet, stop at once, and discovery reports it one second later. Later
 * they all restart at once and are cold. A second is calm if its mean latency and its share of unserved
 * requests are at most a tenth above those of the baseline; the fleet is calm again from the first of three
 * calm seconds in a row.
 */
final class ZoneLossScenario implements Scenario {

    private static final int ANNOUNCED_AT_S = BASELINE_END_S + 1;
    private static final int RESTARTED_AT_S = BASELINE_END_S + 15;
    private static final int END_S = RESTARTED_AT_S + 30;
    private static final int CALM_SECONDS_REQUIRED = 3;
    /** Factor to the baseline up to which a second is calm. */
    private static final double CALM_TOLERANCE = 1.1;
    /** Share of unserved requests, added to the baseline, that is ignored. */
    private static final double NEGLIGIBLE_UNSERVED_SHARE = 0.001;

    @Override
    public List<Measurement> run(FleetSize size, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        List<SimulatedServer> lostServers = fleet.servers().stream()
                .filter(s -> s.listEntry().zone() == SampleDeployment.ZONES - 1).toList();
        fleet.runUntil(BASELINE_END_S);
        double peakBefore = fleet.takePeakRequestsPerCore();
        lostServers.forEach(SimulatedServer::stop);
        fleet.runUntil(ANNOUNCED_AT_S);
        fleet.announce(lostServers);
        fleet.runUntil(RESTARTED_AT_S);
        double peakDuringLoss = fleet.takePeakRequestsPerCore();
        lostServers.forEach(SimulatedServer::start);
        fleet.announce(lostServers);
        fleet.runUntil(END_S);
        double peakAfterRestart = fleet.takePeakRequestsPerCore();
        fleet.runUntil(END_S + (int) (SampleDeployment.DEADLINE_US / 1_000_000) + 1);
        TrafficStatistics.Interval baseline = TrafficStatistics
                .sum(fleet.statistics().between(BASELINE_START_S, BASELINE_END_S));
        List<TrafficStatistics.Interval> duringLoss = fleet.statistics()
                .between(BASELINE_END_S, RESTARTED_AT_S);
        List<TrafficStatistics.Interval> afterRestart = fleet.statistics().between(RESTARTED_AT_S, END_S);
        return List.of(
                new Measurement("zone goes: not served, worst second", "", worstUnserved(duringLoss)),
                new Measurement("zone goes: mean time, worst second / before", "",
                        worstToBaseline(duringLoss, baseline, TrafficStatistics.Interval::meanLatencyUs)),
                new Measurement("zone goes: 99th percentile, worst second / before", "",
                        worstToBaseline(duringLoss, baseline, TrafficStatistics.Interval::p99LatencyUs)),
                new Measurement("zone goes: extra attempts a request, peak second", "", duringLoss.stream()
                        .mapToDouble(TrafficStatistics.Interval::extraAttempts).max().orElseThrow()),
                new Measurement("zone goes: until all are served again", "s",
                        secondsUntilCalm(duringLoss, s -> isServed(s, baseline))),
                new Measurement("zone back: not served, worst second", "", worstUnserved(afterRestart)),
                new Measurement("zone back: mean time, worst second / before", "",
                        worstToBaseline(afterRestart, baseline, TrafficStatistics.Interval::meanLatencyUs)),
                new Measurement("zone back: 99th percentile, worst second / before", "",
                        worstToBaseline(afterRestart, baseline, TrafficStatistics.Interval::p99LatencyUs)),
                new Measurement("zone back: until calm again", "s",
                        secondsUntilCalm(afterRestart, s -> isServed(s, baseline) && isFast(s, baseline))),
                new Measurement("most requests held by a server, per core, before", "", peakBefore),
                new Measurement("most requests held by a server, per core, zone gone", "", peakDuringLoss),
                new Measurement("most requests held by a server, per core, zone back", "", peakAfterRestart));
    }

    private static double worstUnserved(List<TrafficStatistics.Interval> intervals) {
        return intervals.stream().mapToDouble(TrafficStatistics.Interval::unservedShare).max().orElseThrow();
    }

    /** Returns the greatest latency of the intervals divided by that of the baseline. */
    private static double worstToBaseline(List<TrafficStatistics.Interval> intervals,
            TrafficStatistics.Interval baseline, ToDoubleFunction<TrafficStatistics.Interval> latency) {
        return intervals.stream().mapToDouble(latency).max().orElseThrow() / latency.applyAsDouble(baseline);
    }

    private static boolean isServed(TrafficStatistics.Interval interval,
            TrafficStatistics.Interval baseline) {
        return interval.unservedShare() <= CALM_TOLERANCE * baseline.unservedShare()
                + NEGLIGIBLE_UNSERVED_SHARE;
    }

    private static boolean isFast(TrafficStatistics.Interval interval, TrafficStatistics.Interval baseline) {
        return interval.meanLatencyUs() <= CALM_TOLERANCE * baseline.meanLatencyUs();
    }

    /**
     * Returns the seconds from the start of the intervals to the first of {@link #CALM_SECONDS_REQUIRED} calm
     * ones in a row; infinite if there are none.
     */
    private static double secondsUntilCalm(List<TrafficStatistics.Interval> intervals,
            Predicate<TrafficStatistics.Interval> isCalm) {
        int calmInRow = 0;
        for (int i = 0; i < intervals.size(); i++) {
            calmInRow = isCalm.test(intervals.get(i)) ? calmInRow + 1 : 0;
            if (calmInRow == CALM_SECONDS_REQUIRED) {
                return i + 1 - CALM_SECONDS_REQUIRED;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
