package passhatch;

/** What this replica knows of a server. */
final class ServerState {
    final String id;
    /** Hash of the id, the same at every replica. */
    final long hash;
    /** Its slot in the {@link HashRing}. */
    int slot;
    int zone;
    int cell;
    int machineType;
    /** Start of its process as the latest list reports it. */
    long startedAtUs;
    /** When its warm-up began: when its process started, or when an operator enabled it again. */
    long warmUpStartUs;
    /** Disabled by an operator. */
    boolean disabled;
    /** Enabled again by an operator, with no call that has reached it since. */
    boolean reenabled;
    /** The latest list reports it as {@link Balancer.ServerStatus#UP}. */
    boolean up;
    /** It is one of the servers from which the subsets are chosen; follows {@link #up} after each list. */
    boolean listed;
    /** It drains: its idle connections are closed now, and again after each outcome there. */
    boolean draining;
    /** Attempts of this replica in flight there; also counted while it drains or is not listed. */
    int inFlight;
    /**
     * Virtual time of its last assignment: the real time, plus a part of a round over all servers where it is
     * slower than usual or in another zone, or minus one where it is faster. Of equally loaded servers the
     * one with the lowest value is chosen. Initially below all times, in random order.
     */
    long lastAssignedVirtualUs;
    /** Failed or broken connections in a row. */
    int consecutiveFailures;
    /** Ejections for failed connections since the last success. */
    int failureEjections;
    /** Running mean of the fraction of failed or broken connections among its outcomes. */
    double connectionFailureRate;
    /** When an outcome last proved a working connection; the least value after a broken one. */
    long lastConnectedUs = Long.MIN_VALUE;
    /** Running mean of the fraction of errors among its responses. */
    double errorRate;
    /** Ejections for errors without a recovery in between. */
    int errorEjections;
    /** Overdue or timed-out attempts since its last successful response. */
    int consecutiveTimeouts;
    /** Unanswered probes since the last answered one. */
    int unansweredProbes;
    /** Until then it is degraded: it is chosen only if all others are busy. */
    long degradedUntilUs = Long.MIN_VALUE;
    /** Calls in flight there by its own report, valid until {@link #reportValidUntilUs}. */
    int reportedInFlight;
    long reportValidUntilUs = Long.MIN_VALUE;
    /** Exponentially decaying sum of the latencies of its calls. */
    double latencySumUs;
    /** Exponentially decaying sum of the loads at which these calls were sent. */
    double loadSum;
    /** When these sums last changed. */
    long lastLatencySampleUs = Long.MIN_VALUE;
    /** When the probe in flight was sent; the least value while there is none. */
    long probeSentAtUs = Long.MIN_VALUE;
    /** Until then it is ejected: it gets no calls after failures. */
    long ejectedUntilUs = Long.MIN_VALUE;
    /** Earliest time of its next call while it is in its warm-up, or newly listed. */
    long eligibleFromUs = Long.MIN_VALUE;

    ServerState(String id) {
        this.id = id;
        this.hash = StableHash.of(id);
    }

    /** Whether it may get calls now: it is not disabled, not ejected and past its earliest time. */
    boolean isAvailable(long nowUs) {
        return !disabled && ejectedUntilUs <= nowUs && eligibleFromUs <= nowUs;
    }

    /**
     * When it becomes available or, where it is available by then, when its load report expires.
     *
     * @return the greatest value where that is not after the given time
     */
    long nextStateChangeUs(long afterUs) {
        long changeUs = Math.max(ejectedUntilUs, eligibleFromUs);
        changeUs = changeUs <= afterUs ? reportValidUntilUs : changeUs;
        return changeUs > afterUs ? changeUs : Long.MAX_VALUE;
    }

    /** Discards what was learnt about the previous process and begins a new warm-up. */
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

    /** Mean latency for each unit of load here, in microseconds; 0 while unknown. */
    double serviceTimeUs() {
        return loadSum > 0 ? latencySumUs / loadSum : 0;
    }
}
