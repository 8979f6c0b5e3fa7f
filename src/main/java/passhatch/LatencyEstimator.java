package passhatch;

/** What calls are seen to take at this replica, over all servers: running estimates, in microseconds. */
final class LatencyEstimator {

    /** Weight of the newest value in a running mean. */
    static final double EWMA_WEIGHT = 0.1;
    /** A call that has less time left than this part of the calls take is hopeless. */
    private static final double LOW_QUANTILE = 0.3;
    /** What is usual is at most this multiple of what is quick. */
    private static final double MAX_SERVICE_TIME_RATIO = 2;
    /** Step of the quantile's running estimate. */
    private static final double QUANTILE_STEP = 0.05;
    /** And while calls on the whole take less than this multiple: a burst after calm is no crowd. */
    private static final double CONGESTION_RATIO = 1.3;
    /** Part by which the calm time grows at each answer: what was calm thousands of calls ago may not be. */
    private static final double BASELINE_GROWTH = 0.0003;

    /** Time that a call takes for each call in flight at its server, over all servers; 0 while unknown. */
    double serviceTimeUs;
    /** The time for each call in flight that {@link #LOW_QUANTILE} of the calls stay under. */
    double lowServiceTimeUs;
    /** The least that the running mean was: while servers were calm. */
    double baselineLatencyUs = Double.MAX_VALUE;
    private double meanLatencyUs;
    private double latencySumUs;
    private double loadSum;

    /** Takes in a call that took so long with so many calls ahead of it at its server, itself included. */
    void add(long latencyUs, double load) {
        latencySumUs += latencyUs - latencySumUs * EWMA_WEIGHT / 2;
        loadSum += load - loadSum * EWMA_WEIGHT / 2;
        double sampleUs = latencyUs / load;
        meanLatencyUs += (latencyUs - meanLatencyUs) * (meanLatencyUs == 0 ? 1 : EWMA_WEIGHT);
        baselineLatencyUs = Math.min(baselineLatencyUs * (1 + BASELINE_GROWTH), meanLatencyUs);
        lowServiceTimeUs = lowServiceTimeUs == 0 ? sampleUs
                : lowServiceTimeUs
                * (1 + QUANTILE_STEP * (sampleUs < lowServiceTimeUs ? LOW_QUANTILE - 1 : LOW_QUANTILE));
        // A few servers that take seconds must not pass for usual: the mean is capped.
        serviceTimeUs = Math.min(latencySumUs / loadSum, MAX_SERVICE_TIME_RATIO * lowServiceTimeUs);
    }

    /** A call was taken for hopeless: else one slow spell could make all later ones look so. */
    void decayLowServiceTime() {
        lowServiceTimeUs *= 1 - QUANTILE_STEP * LOW_QUANTILE;
    }

    /** Whether calls take longer on the whole than when servers were calm. */
    boolean isCongested() {
        return meanLatencyUs > baselineLatencyUs * CONGESTION_RATIO;
    }
}
