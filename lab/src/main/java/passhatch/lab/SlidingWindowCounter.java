package passhatch.lab;

import java.util.ArrayList;
import java.util.List;

/** Records the times of events and finds the window that has most events in relation to a limit. */
final class SlidingWindowCounter {

    /** The limit of the events in a window. */
    interface Budget {
        /** Returns the number of events allowed from a time to before another, above 0. */
        double allowedEvents(long startUs, long endUs);
    }

    private final long windowUs;
    private final List<Long> timesUs = new ArrayList<>();

    SlidingWindowCounter(long windowUs) {
        this.windowUs = windowUs;
    }

    /** Records an event, which is not earlier than the one before. */
    void add(long atUs) {
        timesUs.add(atUs);
    }

    int count() {
        return timesUs.size();
    }

    /**
     * Returns the greatest ratio of the events in a window to its limit, over the windows that start with an
     * event; 0 without events.
     */
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
