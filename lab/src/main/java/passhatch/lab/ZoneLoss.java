package passhatch.lab;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A zone's servers, a third of all, die at once; discovery tells a second later. They come back together,
 * cold. The fleet is calm in a second whose mean time and share of unserved requests are within a tenth of
 * those before, and calm again with the first of three such seconds in a row.
 */
final class ZoneLoss implements Scenario {

    private static final int TOLD_S = CALM_S + 1;
    private static final int BACK_S = CALM_S + 15;
    private static final int END_S = BACK_S + 30;
    private static final int IN_A_ROW = 3;
    private static final double CLOSE = 1.1;
    /** Unserved requests that count as none. */
    private static final double FEW = 0.001;

    @Override
    public List<Figure> play(Size size, long seed) {
        Fleet fleet = new Fleet(size, seed);
        List<SimulatedServer> lost = fleet.servers().stream()
                .filter(s -> s.listed().zone() == Sites.ZONES - 1).toList();
        fleet.runUntil(CALM_S);
        double heldBefore = fleet.takeMostHeldPerCore();
        lost.forEach(SimulatedServer::stop);
        fleet.runUntil(TOLD_S);
        fleet.tell(lost);
        fleet.runUntil(BACK_S);
        double heldAway = fleet.takeMostHeldPerCore();
        lost.forEach(SimulatedServer::start);
        fleet.tell(lost);
        fleet.runUntil(END_S);
        double heldBack = fleet.takeMostHeldPerCore();
        fleet.runUntil(END_S + (int) (Sites.DEADLINE_US / 1_000_000) + 1);
        Seconds.Second before = Seconds.sum(fleet.seconds().between(LEARNT_S, CALM_S));
        List<Seconds.Second> away = fleet.seconds().between(CALM_S, BACK_S);
        List<Seconds.Second> back = fleet.seconds().between(BACK_S, END_S);
        return List.of(
                new Figure("zone goes: not served, worst second", "", worstUnserved(away)),
                new Figure("zone goes: mean time, worst second / before", "",
                        worst(away, before, Seconds.Second::meanLatencyUs)),
                new Figure("zone goes: 99th percentile, worst second / before", "",
                        worst(away, before, Seconds.Second::p99LatencyUs)),
                new Figure("zone goes: extra attempts a request, peak second", "", away.stream()
                        .mapToDouble(Seconds.Second::extraAttempts).max().orElseThrow()),
                new Figure("zone goes: until all are served again", "s",
                        calmAfter(away, s -> served(s, before))),
                new Figure("zone back: not served, worst second", "", worstUnserved(back)),
                new Figure("zone back: mean time, worst second / before", "",
                        worst(back, before, Seconds.Second::meanLatencyUs)),
                new Figure("zone back: 99th percentile, worst second / before", "",
                        worst(back, before, Seconds.Second::p99LatencyUs)),
                new Figure("zone back: until calm again", "s",
                        calmAfter(back, s -> served(s, before) && inTime(s, before))),
                new Figure("most requests held by a server, per core, before", "", heldBefore),
                new Figure("most requests held by a server, per core, zone gone", "", heldAway),
                new Figure("most requests held by a server, per core, zone back", "", heldBack));
    }

    private static double worstUnserved(List<Seconds.Second> of) {
        return of.stream().mapToDouble(Seconds.Second::unservedShare).max().orElseThrow();
    }

    private static double worst(List<Seconds.Second> of, Seconds.Second before,
            ToDoubleFunction<Seconds.Second> latency) {
        return of.stream().mapToDouble(latency).max().orElseThrow() / latency.applyAsDouble(before);
    }

    private static boolean served(Seconds.Second s, Seconds.Second before) {
        return s.unservedShare() <= CLOSE * before.unservedShare() + FEW;
    }

    private static boolean inTime(Seconds.Second s, Seconds.Second before) {
        return s.meanLatencyUs() <= CLOSE * before.meanLatencyUs();
    }

    /** Seconds until the first of three calm ones in a row; infinite where there are none. */
    private static double calmAfter(List<Seconds.Second> of, Predicate<Seconds.Second> calm) {
        int row = 0;
        for (int i = 0; i < of.size(); i++) {
            row = calm.test(of.get(i)) ? row + 1 : 0;
            if (row == IN_A_ROW) {
                return i + 1 - IN_A_ROW;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
