package passhatch.lab;

import java.util.ArrayList;
import java.util.List;

/** Events in time, to find the window that holds the most of them against a budget that grows with time. */
final class SlidingCount {

    /** What may come within a window that begins at a time. */
    interface Budget {
        double from(long startUs, long endUs);
    }

    private final long windowUs;
    private final List<Long> timesUs = new ArrayList<>();

    SlidingCount(long windowUs) {
        this.windowUs = windowUs;
    }

    /** Notes an event; times never go back. */
    void add(long atUs) {
        timesUs.add(atUs);
    }

    int count() {
        return timesUs.size();
    }

    /** The highest ratio of a window's events to its budget; 0 where nothing came. */
    double worst(Budget budget) {
        double worst = 0;
        int last = 0;
        for (int first = 0; first < timesUs.size(); first++) {
            long endUs = timesUs.get(first) + windowUs;
            while (last < timesUs.size() && timesUs.get(last) < endUs) {
                last++;
            }
            worst = Math.max(worst, (last - first) / budget.from(timesUs.get(first), endUs));
        }
        return worst;
    }
}
