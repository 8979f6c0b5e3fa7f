package passhatch.lab;

import java.util.List;
import java.util.Locale;

/** A part of the servers fails for a while, and discovery does not notice. */
final class FailingServers implements Scenario {

    private static final int FIRST_S = CALM_S + 5;
    private static final int WELL_S = CALM_S + 20;

    private final int oneIn;
    private final SimulatedServer.State how;

    FailingServers(int oneIn, SimulatedServer.State how) {
        this.oneIn = oneIn;
        this.how = how;
    }

    @Override
    public List<Figure> play(Size size, long seed) {
        Fleet fleet = new Fleet(size, seed);
        List<SimulatedServer> failing = fleet.draw(size.servers() / oneIn);
        fleet.runUntil(CALM_S);
        failing.forEach(s -> s.turn(how));
        fleet.runUntil(WELL_S);
        // Those that fail at the end have until their deadline.
        fleet.runUntil(WELL_S + (int) (Sites.DEADLINE_US / 1_000_000) + 1);
        List<Seconds.Second> failed = fleet.seconds().between(CALM_S, WELL_S);
        String name = "1 in " + oneIn + " " + how.name().toLowerCase(Locale.ROOT) + ": ";
        return List.of(
                extra(name + "extra attempts a request before", fleet.seconds().between(LEARNT_S, CALM_S)),
                extra(name + "extra attempts a request, first 5 s",
                        fleet.seconds().between(CALM_S, FIRST_S)),
                extra(name + "extra attempts a request, 5 to 20 s",
                        fleet.seconds().between(FIRST_S, WELL_S)),
                new Figure(name + "extra attempts a request, peak second", "", failed.stream()
                        .mapToDouble(Seconds.Second::extraAttempts).max().orElseThrow()),
                new Figure(name + "requests not served", "", Seconds.sum(failed).unservedShare()));
    }

    private static Figure extra(String name, List<Seconds.Second> of) {
        return new Figure(name, "", Seconds.sum(of).extraAttempts());
    }
}
