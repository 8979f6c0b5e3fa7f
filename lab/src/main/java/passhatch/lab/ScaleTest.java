package passhatch.lab;

/** A part of the scale tests, a command of its own and one of those that {@code all} runs. */
interface ScaleTest {

    /** Measures it into the table, with progress on standard error. */
    void measure(RunOptions options, Results results, ProgressLog progress) throws Exception;
}
