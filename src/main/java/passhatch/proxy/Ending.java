package passhatch.proxy;

/**
 * When what happens after SIGTERM. SIGKILL comes no sooner than the longest deadline, or 3 s where that is
 * longer, and 0.7 s more, so with short deadlines all of it has to come sooner.
 *
 * @param acceptUntilMs until when connections are accepted: new ones go on coming for up to 0.4 s
 * @param takeUntilMs until when requests on open connections are taken as ever: while proxies restart in
 *     turn, their clients may have nowhere else to go. From then on each answer ends its connection, and
 *     idle ones are closed
 * @param answerAtMs when what is left is answered, so that SIGKILL finds nothing
 */
record Ending(long acceptUntilMs, long takeUntilMs, long answerAtMs) {

    private static final long ACCEPT_MS = 500;
    private static final long TAKE_MS = 1_500;
    private static final long MOST_DEADLINE_MS = 3_000;
    private static final long SLACK_MS = 400;

    /**
     * The times for settings.
     *
     * @param succeeded another process listens at the same address
     */
    static Ending of(long longestDeadlineMs, boolean succeeded) {
        long deadlineMs = Math.min(longestDeadlineMs, MOST_DEADLINE_MS);
        long acceptMs = succeeded ? 0 : ACCEPT_MS;
        // What is taken last still has the slack: a client that goes on sending up to the end has to find
        // its connection closed before there is no time left to answer.
        return new Ending(acceptMs, Math.min(acceptMs + TAKE_MS, Math.max(acceptMs, deadlineMs)),
                Math.max(acceptMs, deadlineMs + SLACK_MS));
    }
}
