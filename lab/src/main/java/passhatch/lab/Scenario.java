package passhatch.lab;

import java.util.List;

/** A sequence of events in a simulated fleet, and the measurements taken from it. */
interface Scenario {

    /**
     * Second at which the baseline interval starts. Until then the modules build up their estimates, and
     * nothing is measured.
     */
    int BASELINE_START_S = 10;
    /** Second at which the baseline interval ends; the scenario changes nothing before. */
    int BASELINE_END_S = 15;

    /**
     * A measurement of one run.
     *
     * @param name what was measured
     * @param unit unit of the value; "" for ratios and counts
     * @param value the value of this run
     */
    record Measurement(String name, String unit, double value) { }

    /** Runs the scenario; the same size and seed give equal measurements, in the same order. */
    List<Measurement> run(FleetSize size, long seed);
}
