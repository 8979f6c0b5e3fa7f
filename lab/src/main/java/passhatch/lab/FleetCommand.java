package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import passhatch.lab.FleetSubsets.ChangeEffect;
import passhatch.lab.Scenario.Measurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures in simulated time how the replicas of the proxy together use the servers. A replica is called a
 * copy in options and results; a pairing is a replica together with a server that it uses.
 */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Measures a simulated fleet: pairings, cold and failing servers, the loss of a zone.")
final class FleetCommand implements Callable<Integer>, ScaleTest {

    /** Replicas times servers above which pairings are observed in a single run. */
    private static final long SINGLE_RUN_ABOVE_PAIRS = 1_000_000;

    @Mixin
    private RunOptions options;

    @Option(names = "--sizes", split = ",", converter = FleetSize.Converter.class, paramLabel = "CxS",
            defaultValue = "100x30,100x300,300x1000,1000x300,1000x3000,3000x3000,1000x19000,19000x19000",
            description = "copies x servers (default: ${DEFAULT-VALUE})")
    private List<FleetSize> sizes;

    @Option(names = "--observe-up-to", defaultValue = "10000000", paramLabel = "N",
            description = "copies times servers up to which the pairings of every copy are observed; above, "
                    + "those of a sample (default: ${DEFAULT-VALUE})")
    private long maxObservedPairs;

    @Option(names = "--others", defaultValue = "15", paramLabel = "N",
            description = "servers that change for a sampled copy without being used by it: an effect on "
                    + "fewer than 1 in " + FleetSubsets.SAMPLED_REPLICAS + " N such copies may go unnoticed "
                    + "(default: ${DEFAULT-VALUE})")
    private int unusedServersChanged;

    @Option(names = "--play-up-to", defaultValue = "1000000", paramLabel = "N",
            description = "copies times servers up to which traffic is simulated, about 400 bytes each "
                    + "per core (default: ${DEFAULT-VALUE})")
    private long maxTrafficPairs;

    @Override
    public Integer call() {
        measure(options, options.createResults("fleet"), new ProgressLog());
        return 0;
    }

    @Override
    public void measure(RunOptions runOptions, Results results, ProgressLog progress) {
        results.note("Sizes are copies x servers. Pairings: a copy and a server that it sends calls to; each "
                + "changed server of each run counts as a run. Traffic: Poisson arrivals, "
                + SimulatedFleet.UTILISATION + " of the servers' capacity, a mean of "
                + SimulatedFleet.MEAN_WORK_US / 1e6 + " s of work on one of " + SimulatedServer.CORES
                + " cores, clients that do not retry.");
        for (FleetSize size : sizes) {
            long runs = size.pairCount() > SINGLE_RUN_ABOVE_PAIRS ? 1 : runOptions.runs;
            progress.print("fleet, pairings, " + size);
            addSubsetResults(results, size, LongStream.range(runOptions.seed, runOptions.seed + runs)
                    .mapToObj(seed -> new FleetSubsets(size, seed, maxObservedPairs, unusedServersChanged))
                    .toList());
            if (size.pairCount() > maxTrafficPairs) {
                results.note("Traffic at " + size + " was left out: above --play-up-to " + maxTrafficPairs
                        + ".");
            } else {
                progress.print("fleet, traffic, " + size);
                addTrafficResults(results, size, runOptions);
            }
        }
    }

    private void addSubsetResults(Results results, FleetSize size, List<FleetSubsets> runs) {
        String sizeText = size.toString();
        results.add("servers that a copy uses", sizeText, "", valuesOf(runs, FleetSubsets::subsetSize));
        results.add("copies that keep their servers over a restart", sizeText, "",
                valuesOf(runs, FleetSubsets::keptAcrossRestart));
        if (runs.get(0).allObserved()) {
            results.add("busiest server / mean, pairings", sizeText, "",
                    valuesOf(runs, FleetSubsets::maxToMeanPairings));
            results.add("busiest server / mean, calls", sizeText, "",
                    valuesOf(runs, FleetSubsets::maxToMeanCalls));
        } else {
            int sampledReplicas = FleetSubsets.SAMPLED_REPLICAS;
            results.note("Pairings at " + size + ": estimated from " + sampledReplicas
                    + " copies, each shown changes of servers that it uses and of " + unusedServersChanged
                    + " others. An effect on fewer than 1 in " + sampledReplicas * unusedServersChanged
                    + " of the copies that do not use the server may go unnoticed. The busiest server was "
                    + "left out.");
        }
        for (ServerChange change : ServerChange.values()) {
            String prefix = "server " + change.name().toLowerCase(Locale.ROOT) + ": ";
            List<ChangeEffect> effects = runs.stream().flatMap(r -> r.effects(change).stream()).toList();
            results.add(prefix + "copies that use it", sizeText, "", valuesOf(effects, ChangeEffect::users));
            results.add(prefix + "new pairings", sizeText, "", valuesOf(effects, ChangeEffect::newPairings));
            results.add(prefix + "new pairings when over", sizeText, "",
                    valuesOf(effects, ChangeEffect::newPairingsAfter));
            results.add(prefix + "new pairings / copies that use it", sizeText, "",
                    valuesOf(effects, ChangeEffect::newPairingsPerUser));
            results.add(prefix + "pairings that are back after", sizeText, "",
                    valuesOf(effects, ChangeEffect::returnedShare));
        }
    }

    private static <T> double[] valuesOf(List<T> items, ToDoubleFunction<T> value) {
        return items.stream().mapToDouble(value).toArray();
    }

    private static void addTrafficResults(Results results, FleetSize size, RunOptions runOptions) {
        List<Scenario> scenarios = new ArrayList<>(List.of(new SlowStartScenario(), new ZoneLossScenario()));
        for (int oneIn : new int[] {10, 4}) {
            for (SimulatedServer.State failure : SimulatedServer.State.FAILURES) {
                scenarios.add(new FailingServersScenario(oneIn, failure));
            }
        }
        List<List<Measurement>> outcomes = IntStream.range(0, scenarios.size() * runOptions.runs).parallel()
                .mapToObj(i -> scenarios.get(i / runOptions.runs).run(size,
                        runOptions.seed + i % runOptions.runs)).toList();
        for (int i = 0; i < outcomes.size(); i += runOptions.runs) {
            List<List<Measurement>> runs = outcomes.subList(i, i + runOptions.runs);
            for (int position = 0; position < runs.get(0).size(); position++) {
                int index = position;
                Measurement first = runs.get(0).get(position);
                results.add(first.name(), size.toString(), first.unit(),
                        valuesOf(runs, measurements -> measurements.get(index).value()));
            }
        }
    }
}
