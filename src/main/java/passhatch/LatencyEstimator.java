package passhatch;

/** Running estimates of the latency of calls from this replica over all servers, in microseconds. */
final class LatencyEstimator {

    /** Weight of the newest value in an exponentially weighted moving average (EWMA). */
    static final double EWMA_WEIGHT = 0.1;
    /**
     * Quantile of the service times that {@link #lowServiceTimeUs} estimates. A call with less time left than
     * that is hopeless: this fraction of calls is that fast, the others take longer.
     */
    private static final double LOW_QUANTILE = 0.3;
    /** Limit of the mean service time, as a multiple of the low one. */
    private static final double MAX_SERVICE_TIME_RATIO = 2;
    /** Relative step by which each call adjusts the estimate of the quantile. */
    private static final double QUANTILE_STEP = 0.05;
    /**
     * Calls count as congested above this multiple of the baseline latency; a burst after a quiet period
     * does not reach it.
     */
    private static final double CONGESTION_RATIO = 1.3;
    /**
     * Fraction by which the baseline grows with each call, so that a minimum from thousands of calls ago,
     * which may no longer be reached, loses its effect.
     */
    private static final double BASELINE_GROWTH = 0.0003;

    /** Mean latency of a call for each unit of load at its server; 0 while unknown. */
    double serviceTimeUs;
    /** Latency for each unit of load that {@link #LOW_QUANTILE} of the calls stay below; 0 while unknown. */
    double lowServiceTimeUs;
    /** The lowest mean latency so far, reached while servers were not congested; grows slowly. */
    double baselineLatencyUs = Double.MAX_VALUE;
    private double meanLatencyUs;
    /** Exponentially decaying sum of the latencies of calls. */
    private double latencySumUs;
    /** Exponentially decaying sum of the loads at which these calls were sent. */
    private double loadSum;

    /**
     * Adds a call that has ended.
     *
     * @param latencyUs its latency, in microseconds
     * @param load the calls at its server when it was sent, itself included; above 0
     */
    void add(long latencyUs, double load) {
        latencySumUs += latencyUs - latencySumUs * EWMA_WEIGHT / 2;
        loadSum += load - loadSum * EWMA_WEIGHT / 2;
        double sampleUs = latencyUs / load;
        meanLatencyUs += (latencyUs - meanLatencyUs) * (meanLatencyUs == 0 ? 1 : EWMA_WEIGHT);
        baselineLatencyUs = Math.min(baselineLatencyUs * (1 + BASELINE_GROWTH), meanLatencyUs);
        lowServiceTimeUs = lowServiceTimeUs == 0 ? sampleUs
                : lowServiceTimeUs
                * (1 + QUANTILE_STEP * (sampleUs < lowServiceTimeUs ? LOW_QUANTILE - 1 : LOW_QUANTILE));
        // The mean is limited, so that a few servers that take seconds do not distort it.
        serviceTimeUs = Math.min(latencySumUs / loadSum, MAX_SERVICE_TIME_RATIO * lowServiceTimeUs);
    }

    /**
     * Lowers the low service time a little, after a call was given up as hopeless. Such calls add no sample,
     * so that without this one slow period could make all later calls look hopeless.
     */
    void decayLowServiceTime() {
        lowServiceTimeUs *= 1 - QUANTILE_STEP * LOW_QUANTILE;
    }

    /** Whether calls take clearly longer on average than while servers were not congested. */
    boolean isCongested() {
        return meanLatencyUs > baselineLatencyUs * CONGESTION_RATIO;
    }
}
