package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Requests and attempts of a simulated fleet, counted for each second of simulated time. */
final class TrafficStatistics {

    /**
     * Statistics of an interval of one second, or of several: the requests that arrived in it, their results,
     * and the extra attempts sent in it.
     */
    static final class Interval {
        private final Histogram latenciesUs = new Histogram(3_600_000_000L, 2);
        private long requestCount;
        private long extraAttemptCount;
        private long unservedCount;

        /** Retries and hedged attempts sent in this interval, divided by the requests that arrived in it. */
        double extraAttempts() {
            return requestCount == 0 ? 0 : (double) extraAttemptCount / requestCount;
        }

        /** Share, 0 to 1, of the requests that arrived in this interval and were not served. */
        double unservedShare() {
            return requestCount == 0 ? 0 : (double) unservedCount / requestCount;
        }

        double meanLatencyUs() {
            return latenciesUs.getMean();
        }

        double p99LatencyUs() {
            return latenciesUs.getValueAtPercentile(99);
        }
    }

    private final long startUs;
    private final List<Interval> intervals = new ArrayList<>();

    TrafficStatistics(long startUs) {
        this.startUs = startUs;
    }

    private Interval intervalAt(long timeUs) {
        int index = (int) ((timeUs - startUs) / 1_000_000);
        while (intervals.size() <= index) {
            intervals.add(new Interval());
        }
        return intervals.get(index);
    }

    void requestArrived(long atUs) {
        intervalAt(atUs).requestCount++;
    }

    /** Counts a retry or a hedged attempt. */
    void extraAttemptSent(long atUs) {
        intervalAt(atUs).extraAttemptCount++;
    }

    void requestServed(long arrivedUs, long latencyUs) {
        intervalAt(arrivedUs).latenciesUs.recordValue(latencyUs);
    }

    void requestUnserved(long arrivedUs) {
        intervalAt(arrivedUs).unservedCount++;
    }

    /** Returns the intervals of the seconds from {@code fromS} to before {@code toS} since the start. */
    List<Interval> between(int fromS, int toS) {
        intervalAt(startUs + toS * 1_000_000L);
        return List.copyOf(intervals.subList(fromS, toS));
    }

    /** Returns the statistics of all these intervals together. */
    static Interval sum(List<Interval> intervals) {
        Interval total = new Interval();
        for (Interval interval : intervals) {
            total.requestCount += interval.requestCount;
            total.extraAttemptCount += interval.extraAttemptCount;
            total.unservedCount += interval.unservedCount;
            total.latenciesUs.add(interval.latenciesUs);
        }
        return total;
    }
}
