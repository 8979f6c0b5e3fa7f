package passhatch.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of a run, by when they begin; the seed alone decides them. They overlap in time.
 *
 * @param faults in the order of their beginning
 */
record FaultPlan(List<Fault> faults) {

    /** What is made to happen. */
    enum Kind {
        /** Discovery dies: watches are reset and calls refused; it returns after the fault's length. */
        DISCOVERY_DOWN(1_000, 6_000),
        /** Each call to discovery is answered 503 at once. */
        DISCOVERY_FAILING(1_000, 5_000),
        /** Calls to discovery get no answer. */
        DISCOVERY_SILENT(500, 3_000),
        /** Open watches say nothing more and stay open. */
        WATCHES_SILENT(0, 0),
        WATCHES_RESET(0, 0),
        WATCHES_END(0, 0),
        /** A new configuration names another address of discovery (SIGHUP). */
        DISCOVERY_MOVED(0, 0),
        /** A backend dies, is removed from the list, and comes back. */
        BACKEND_CRASHED(1_000, 6_000),
        /** A backend is removed from the list, or drains, and still answers. */
        BACKEND_REMOVED(12_000, 20_000),
        BACKEND_DRAINED(12_000, 20_000),
        BACKEND_HANGS(1_000, 6_000),
        BACKEND_ERRS(1_000, 6_000),
        BACKEND_RESETS(1_000, 6_000),
        BACKEND_FULL(1_000, 6_000),
        /** SIGKILL, and a new process. */
        PROXY_KILLED(200, 1_500),
        /** SIGTERM, SIGKILL once that may come, and a new process. */
        PROXY_TERMINATED(200, 1_500),
        /** A proxy stands still, as long as the rules allow for. */
        PROXY_PAUSED(20, 120),
        CLOCK_STEPPED(3_000, 15_000),
        ACCEPT_FAILS(500, 4_000),
        CONNECT_FAILS(500, 4_000),
        SOCKET_FAILS(500, 4_000);

        private final int minDurationMs;
        private final int maxDurationMs;

        Kind(int minDurationMs, int maxDurationMs) {
            this.minDurationMs = minDurationMs;
            this.maxDurationMs = maxDurationMs;
        }
    }

    /**
     * One fault.
     *
     * @param randomChoice picks its target and what else it leaves open
     */
    record Fault(Kind kind, int startMs, int durationMs, int randomChoice) { }

    /** Faults for a run of that length, so many a second on average. */
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
