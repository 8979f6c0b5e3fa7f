package passhatch.lab;

/** A part of the scale tests, a command of its own and one of those that {@code all} runs. */
interface Part {

    /** Measures it into the table, with progress on standard error. */
    void measure(RunOptions options, Results results, Progress progress) throws Exception;
}
