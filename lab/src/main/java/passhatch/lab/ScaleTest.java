package passhatch.lab;

/** A scale test: a command of its own, and one of those that {@code lab all} runs. */
interface ScaleTest {

    /**
     * Runs the test, adds its results to the table and prints progress to standard error.
     *
     * @throws Exception if the test cannot be run to its end
     */
    void measure(RunOptions options, Results results, ProgressLog progress) throws Exception;
}
