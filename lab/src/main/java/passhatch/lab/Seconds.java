package passhatch.lab;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What the clients of a fleet saw, second by second of simulated time. */
final class Seconds {

    /** One second: the requests that came in it, how they ended, and the further attempts sent in it. */
    static final class Second {
        private final Histogram latencyUs = new Histogram(3_600_000_000L, 2);
        private long requests;
        private long again;
        private long unserved;

        /** Retries and hedged requests sent in this second, for each request that came in it. */
        double extraAttempts() {
            return requests == 0 ? 0 : (double) again / requests;
        }

        double unservedShare() {
            return requests == 0 ? 0 : (double) unserved / requests;
        }

        double meanLatencyUs() {
            return latencyUs.getMean();
        }

        double p99LatencyUs() {
            return latencyUs.getValueAtPercentile(99);
        }
    }

    private final long startUs;
    private final List<Second> seconds = new ArrayList<>();

    Seconds(long startUs) {
        this.startUs = startUs;
    }

    private Second at(long timeUs) {
        int second = (int) ((timeUs - startUs) / 1_000_000);
        while (seconds.size() <= second) {
            seconds.add(new Second());
        }
        return seconds.get(second);
    }

    void arrived(long atUs) {
        at(atUs).requests++;
    }

    /** A retry or a hedged request. */
    void sentAgain(long atUs) {
        at(atUs).again++;
    }

    void served(long arrivedUs, long tookUs) {
        at(arrivedUs).latencyUs.recordValue(tookUs);
    }

    void unserved(long arrivedUs) {
        at(arrivedUs).unserved++;
    }

    /** The seconds from one to before another, counted from the start. */
    List<Second> between(int from, int to) {
        at(startUs + to * 1_000_000L);
        return List.copyOf(seconds.subList(from, to));
    }

    /** All of these seconds as one. */
    static Second sum(List<Second> of) {
        Second all = new Second();
        for (Second s : of) {
            all.requests += s.requests;
            all.again += s.again;
            all.unserved += s.unserved;
            all.latencyUs.add(s.latencyUs);
        }
        return all;
    }
}
