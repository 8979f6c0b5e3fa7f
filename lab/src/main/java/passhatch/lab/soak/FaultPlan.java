package passhatch.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of a run, which can overlap in time. They depend only on the seed, the duration and the rate of
 * faults.
 *
 * @param faults the faults, ordered by start time
 */
record FaultPlan(List<Fault> faults) {

    /** The kind of a fault, with the range of its duration in milliseconds. */
    enum Kind {
        /** Discovery crashes: connections are reset and new ones refused until the fault ends. */
        DISCOVERY_DOWN(1_000, 6_000),
        /** Each call to discovery is answered 503 at once. */
        DISCOVERY_FAILING(1_000, 5_000),
        /** Calls to discovery get no response. */
        DISCOVERY_SILENT(500, 3_000),
        /** Open watches stay open but send nothing more. */
        WATCHES_SILENT(0, 0),
        /** The connections of all open watches are reset. */
        WATCHES_RESET(0, 0),
        /** All open watches end with a complete response. */
        WATCHES_END(0, 0),
        /** Discovery moves: the proxies reload a configuration with its new address on SIGHUP. */
        DISCOVERY_MOVED(0, 0),
        /** A backend crashes, is removed from the list, and restarts. */
        BACKEND_CRASHED(1_000, 6_000),
        /** A backend is removed from the list but still responds. */
        BACKEND_REMOVED(12_000, 20_000),
        /** A backend is listed as draining but still responds. */
        BACKEND_DRAINED(12_000, 20_000),
        /** A backend receives requests and does not respond. */
        BACKEND_HANGS(1_000, 6_000),
        /** A backend answers most requests 500. */
        BACKEND_ERRS(1_000, 6_000),
        /** A backend resets the connections of most requests. */
        BACKEND_RESETS(1_000, 6_000),
        /** A backend answers most requests 503 without running them. */
        BACKEND_FULL(1_000, 6_000),
        /** A proxy gets SIGKILL and is started again after the duration. */
        PROXY_KILLED(200, 1_500),
        /**
         * A proxy gets SIGTERM, then SIGKILL at the earliest time allowed, and is started again after the
         * duration.
         */
        PROXY_TERMINATED(200, 1_500),
        /** A proxy gets several signals in quick succession and runs on. */
        SIGNALS_IN_SERIES(0, 0),
        /** A proxy is stopped (SIGSTOP) for up to the time that the rules allow for, then continued. */
        PROXY_PAUSED(20, 120),
        /** The wall clock of a proxy is off. */
        CLOCK_STEPPED(3_000, 15_000),
        /** Some accept calls of a proxy fail. */
        ACCEPT_FAILS(500, 4_000),
        /** Some connect calls of a proxy fail. */
        CONNECT_FAILS(500, 4_000),
        /** Some socket calls of a proxy fail. */
        SOCKET_FAILS(500, 4_000);

        private final int minDurationMs;
        private final int maxDurationMs;

        Kind(int minDurationMs, int maxDurationMs) {
            this.minDurationMs = minDurationMs;
            this.maxDurationMs = maxDurationMs;
        }
    }

    /**
     * A fault of the plan.
     *
     * @param startMs start of the fault, in milliseconds after the start of the run
     * @param durationMs duration in milliseconds
     * @param randomChoice random number that selects the target and variant of the fault
     */
    record Fault(Kind kind, int startMs, int durationMs, int randomChoice) { }

    /** Generates the faults of a run from a seed, at an average rate. */
    static FaultPlan generate(long seed, int runDurationMs, double faultsPerSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        int count = (int) (runDurationMs / 1_000.0 * faultsPerSecond);
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int durationMs = kind.minDurationMs + random.nextInt(kind.maxDurationMs - kind.minDurationMs + 1);
            faults.add(new Fault(kind, random.nextInt(runDurationMs), durationMs, random.nextInt(1 << 20)));
        }
        faults.sort(Comparator.comparingInt(Fault::startMs));
        return new FaultPlan(List.copyOf(faults));
    }
}
