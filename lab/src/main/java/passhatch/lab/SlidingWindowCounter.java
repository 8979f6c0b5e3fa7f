package passhatch.lab;

import java.util.ArrayList;
import java.util.List;

/** Events in time, to find the window that holds the most of them against a budget that grows with time. */
final class SlidingWindowCounter {

    /** What may come within a window that begins at a time. */
    interface Budget {
        double allowedEvents(long startUs, long endUs);
    }

    private final long windowUs;
    private final List<Long> timesUs = new ArrayList<>();

    SlidingWindowCounter(long windowUs) {
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
    double maxRatio(Budget budget) {
        double maxRatio = 0;
        int endIndex = 0;
        for (int firstIndex = 0; firstIndex < timesUs.size(); firstIndex++) {
            long endUs = timesUs.get(firstIndex) + windowUs;
            while (endIndex < timesUs.size() && timesUs.get(endIndex) < endUs) {
                endIndex++;
            }
            maxRatio = Math.max(maxRatio,
                    (endIndex - firstIndex) / budget.allowedEvents(timesUs.get(firstIndex), endUs));
        }
        return maxRatio;
    }
}
