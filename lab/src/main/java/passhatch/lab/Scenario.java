package passhatch.lab;

import java.util.List;

/** A day in the life of a fleet, and the figures that it gives. */
interface Scenario {

    /** Until then instances learn what is usual, and nothing is counted. */
    int BASELINE_START_S = 10;
    /** Until then nothing happens. */
    int BASELINE_END_S = 15;

    /**
     * A figure.
     *
     * @param name what was measured
     * @param unit "" for ratios and counts
     * @param value of this run
     */
    record Measurement(String name, String unit, double value) { }

    /** Plays it; the same size and seed give the same figures, in the same order. */
    List<Measurement> run(FleetSize size, long seed);
}
