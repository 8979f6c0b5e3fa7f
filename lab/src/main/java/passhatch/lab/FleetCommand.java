package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import passhatch.lab.Pairings.Move;
import passhatch.lab.Scenario.Figure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Measures what many instances of the module do together, in simulated time. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "The fleet in simulated time: pairings, cold and failing servers, the loss of a zone.")
final class FleetCommand implements Callable<Integer>, Part {

    /** Copies x servers beyond which pairings are observed in one run only. */
    private static final long ONE_RUN_BEYOND = 1_000_000;

    @Mixin
    private RunOptions options;

    @Option(names = "--sizes", split = ",", converter = Size.Converter.class, paramLabel = "CxS",
            defaultValue = "100x30,100x300,300x1000,1000x300,1000x3000,3000x3000,1000x19000,19000x19000",
            description = "copies x servers (default: ${DEFAULT-VALUE})")
    private List<Size> sizes;

    @Option(names = "--observe-up-to", defaultValue = "10000000", paramLabel = "N",
            description = "copies times servers up to which the pairings of every copy are observed; beyond, "
                    + "of a sample (default: ${DEFAULT-VALUE})")
    private long observeUpTo;

    @Option(names = "--others", defaultValue = "15", paramLabel = "N",
            description = "servers that a sampled copy does not use and is shown to change: what moves fewer "
                    + "than 1 in " + Pairings.SAMPLED_COPIES + " N such copies stays unseen "
                    + "(default: ${DEFAULT-VALUE})")
    private int others;

    @Option(names = "--play-up-to", defaultValue = "1000000", paramLabel = "N",
            description = "copies times servers up to which traffic is played, some 400 bytes each, times "
                    + "cores (default: ${DEFAULT-VALUE})")
    private long playUpTo;

    @Override
    public Integer call() {
        measure(options, options.results("fleet"), new Progress());
        return 0;
    }

    @Override
    public void measure(RunOptions run, Results results, Progress progress) {
        results.note("Sizes are copies x servers. Pairings: a copy uses a server, as seen by its sends; each "
                + "changed server of each run counts as a run. Traffic: Poisson arrivals, "
                + Fleet.UTILISATION + " of the servers' time, a mean of " + Fleet.MEAN_WORK_US / 1e6
                + " s of work on one of " + SimulatedServer.CORES + " cores, clients that try once.");
        for (Size size : sizes) {
            long runs = size.cells() > ONE_RUN_BEYOND ? 1 : run.runs;
            progress.say("fleet, pairings, " + size);
            addPairings(results, size, LongStream.range(run.seed, run.seed + runs)
                    .mapToObj(seed -> new Pairings(size, seed, observeUpTo, others)).toList());
            if (size.cells() > playUpTo) {
                results.note("Traffic at " + size + " was left out: beyond --play-up-to " + playUpTo + ".");
            } else {
                progress.say("fleet, traffic, " + size);
                addTraffic(results, size, run);
            }
        }
    }

    private void addPairings(Results results, Size size, List<Pairings> runs) {
        String at = size.toString();
        results.add("servers that a copy uses", at, "", each(runs, Pairings::subsetSize));
        results.add("copies that keep their servers over a restart", at, "",
                each(runs, Pairings::keptOverRestart));
        if (runs.get(0).whole()) {
            results.add("busiest server / mean, pairings", at, "", each(runs, Pairings::busiestByPairings));
            results.add("busiest server / mean, calls", at, "", each(runs, Pairings::busiestByCalls));
        } else {
            int sample = Pairings.SAMPLED_COPIES;
            results.note("Pairings at " + size + ": estimated from " + sample + " copies, each shown changes "
                    + "of servers that it uses and of " + others + " others. What moves fewer than 1 in "
                    + sample * others + " of the copies that do not use the server may be unseen. The "
                    + "busiest server was left out.");
        }
        for (Change change : Change.values()) {
            String name = "server " + change.name().toLowerCase(Locale.ROOT) + ": ";
            List<Move> moves = runs.stream().flatMap(r -> r.moves(change).stream()).toList();
            results.add(name + "copies that use it", at, "", each(moves, Move::users));
            results.add(name + "new pairings", at, "", each(moves, Move::fresh));
            results.add(name + "new pairings when over", at, "", each(moves, Move::freshAfter));
            results.add(name + "new pairings / copies that use it", at, "", each(moves, Move::ratio));
            results.add(name + "pairings that are back after", at, "", each(moves, Move::returned));
        }
    }

    private static <T> double[] each(List<T> of, ToDoubleFunction<T> value) {
        return of.stream().mapToDouble(value).toArray();
    }

    private static void addTraffic(Results results, Size size, RunOptions run) {
        List<Scenario> scenarios = new ArrayList<>(List.of(new ColdServers(), new ZoneLoss()));
        for (int oneIn : new int[] {10, 4}) {
            for (SimulatedServer.State how : SimulatedServer.State.FAILURES) {
                scenarios.add(new FailingServers(oneIn, how));
            }
        }
        List<List<Figure>> played = IntStream.range(0, scenarios.size() * run.runs).parallel()
                .mapToObj(i -> scenarios.get(i / run.runs).play(size, run.seed + i % run.runs)).toList();
        for (int i = 0; i < played.size(); i += run.runs) {
            List<List<Figure>> runs = played.subList(i, i + run.runs);
            for (int f = 0; f < runs.get(0).size(); f++) {
                int number = f;
                Figure first = runs.get(0).get(f);
                results.add(first.name(), size.toString(), first.unit(),
                        each(runs, figures -> figures.get(number).value()));
            }
        }
    }
}
