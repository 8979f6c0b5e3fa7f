package passhatch.lab;

import java.util.List;

/**
 * Some servers restart. What all instances together send to one while it is cold is held against what it can
 * bear in the time after which it would fall over: N by the settings and its warmth then, and 2 x root of N
 * + 2 for chance.
 */
final class ColdServers implements Scenario {

    private static final int BACK_S = CALM_S + 5;
    private static final int WARM_S = BACK_S + (int) Math.ceil(Sites.RULES.coldUs() / 1e6);
    private static final int RESTARTED = 5;

    @Override
    public List<Figure> play(Size size, long seed) {
        Fleet fleet = new Fleet(size, seed);
        List<SimulatedServer> restarted = fleet.draw(Math.max(1, Math.min(RESTARTED, size.servers() / 10)));
        fleet.runUntil(CALM_S);
        restarted.forEach(SimulatedServer::stop);
        fleet.tell(restarted);
        fleet.runUntil(BACK_S);
        restarted.forEach(SimulatedServer::start);
        fleet.tell(restarted);
        long startUs = fleet.loop().nowUs();
        List<SlidingCount> counts = restarted.stream()
                .map(s -> s.countArrivals(Sites.RULES.overloadForUs())).toList();
        fleet.runUntil(WARM_S);
        double fair = Fleet.CAPACITY * Fleet.UTILISATION * (WARM_S - BACK_S);
        double budget = counts.stream()
                .mapToDouble(c -> c.worst((fromUs, toUs) -> budget(fromUs - startUs, toUs - startUs)))
                .max().orElseThrow();
        double share = counts.stream().mapToInt(SlidingCount::count).average().orElseThrow() / fair;
        return List.of(
                new Figure("cold server: calls in its worst window / budget", "", budget),
                new Figure("cold server: calls while cold / fair share", "", share));
    }

    /** Requests that a server may get between two times since its start, chance included. */
    private static double budget(long fromUs, long toUs) {
        double n = Sites.RULES.tipMultiple() * Fleet.CAPACITY * (warmSeconds(toUs) - warmSeconds(fromUs));
        return n + 2 * Math.sqrt(n) + 2;
    }

    /** The warmth summed up since the start: seconds of a warm server's work. */
    private static double warmSeconds(long sinceUs) {
        double from = Sites.RULES.coldFrom();
        double cold = Math.min(sinceUs, Sites.RULES.coldUs()) / 1e6;
        double coldS = Sites.RULES.coldUs() / 1e6;
        return from * cold + (1 - from) * cold * cold / (2 * coldS) + Math.max(0, sinceUs / 1e6 - coldS);
    }
}
