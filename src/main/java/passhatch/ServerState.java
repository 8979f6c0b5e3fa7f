package passhatch;

/** A server as this copy sees it. */
final class ServerState {
    final String id;
    final long hash;
    /** Its slot on the {@link HashRing}. */
    int slot;
    int zone;
    int cell;
    int machineType;
    long startedAtUs;
    /** Since when it counts as just started: its start, or its return after it was taken out by hand. */
    long warmUpStartUs;
    /** Taken out by hand. */
    boolean disabled;
    /** Put back by hand, and no call has reached it since. */
    boolean reenabled;
    /** The latest list has it in use. */
    boolean up;
    /** It stands among the servers that calls may go to. */
    boolean listed;
    /** Told to drain: its idle connections are closed, and again at each outcome there. */
    boolean draining;
    /** Own attempts out, kept true while it drains or is off the list. */
    int inFlight;
    /**
     * When it was last assigned, later by a part of a round for a slow server, earlier for a quick one.
     * Below all times, in random order, while never used.
     */
    long lastAssignedVirtualUs;
    /** Failed or broken connections in a row, and rests for them. */
    int consecutiveFailures;
    int failureEjections;
    /** Share of those among all its outcomes. */
    double connectionFailureRate;
    /** When an outcome last showed that a connection stands. */
    long lastConnectedUs = Long.MIN_VALUE;
    /** Share of errors among its latest answers, and rests for it with no recovery between. */
    double errorRate;
    int errorEjections;
    /** Overdue attempts since its last answer. */
    int consecutiveTimeouts;
    /** Probes without an answer since the last one that had one. */
    int unansweredProbes;
    /** Chosen only if all others are busy, until then. */
    long degradedUntilUs = Long.MIN_VALUE;
    /** Calls in flight by its own report, valid until {@link #reportValidUntilUs}. */
    int reportedInFlight;
    long reportValidUntilUs = Long.MIN_VALUE;
    /** Running sums of the time that calls took here and of the calls ahead; when they last changed. */
    double latencySumUs;
    double loadSum;
    long lastLatencySampleUs = Long.MIN_VALUE;
    /** When the probe that is out was sent, or the least value. */
    long probeSentAtUs = Long.MIN_VALUE;
    long ejectedUntilUs = Long.MIN_VALUE;
    /** A cold or newly listed server takes nothing before this time. */
    long eligibleFromUs = Long.MIN_VALUE;

    ServerState(String id) {
        this.id = id;
        this.hash = HashRing.hash(id);
    }

    /** Whether calls may go there at all now. */
    boolean isAvailable(long nowUs) {
        return !disabled && ejectedUntilUs <= nowUs && eligibleFromUs <= nowUs;
    }

    /** When its rest, its entry or its report ends, if after that time; else the greatest value. */
    long nextStateChangeUs(long afterUs) {
        long changeUs = Math.max(ejectedUntilUs, eligibleFromUs);
        changeUs = changeUs <= afterUs ? reportValidUntilUs : changeUs;
        return changeUs > afterUs ? changeUs : Long.MAX_VALUE;
    }

    /** Forgets what was learnt of the process that ran here before, and takes it as just started. */
    void resetAfterRestart(long nowUs) {
        warmUpStartUs = nowUs;
        consecutiveFailures = 0;
        failureEjections = 0;
        connectionFailureRate = 0;
        errorRate = 0;
        errorEjections = 0;
        consecutiveTimeouts = 0;
        unansweredProbes = 0;
        degradedUntilUs = Long.MIN_VALUE;
        ejectedUntilUs = Long.MIN_VALUE;
        reportValidUntilUs = Long.MIN_VALUE;
        latencySumUs = 0;
        loadSum = 0;
        lastLatencySampleUs = Long.MIN_VALUE;
    }

    /** Time that a call takes here for each call in flight; 0 while unknown. */
    double serviceTimeUs() {
        return loadSum > 0 ? latencySumUs / loadSum : 0;
    }
}
