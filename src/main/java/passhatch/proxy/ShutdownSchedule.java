package passhatch.proxy;

/**
 * When what happens after SIGTERM. SIGKILL comes no sooner than the longest deadline, or 3 s where that is
 * longer, and 0.7 s more, so with short deadlines all of it has to come sooner.
 *
 * @param stopListeningAfterMs until when connections are accepted: new ones go on coming for up to 0.4 s
 * @param closeConnectionsAfterMs until when requests on open connections are taken as ever: while proxies
 * restart in
 *     turn, their clients may have nowhere else to go. From then on each answer ends its connection, and
 *     idle ones are closed
 * @param respondToAllAfterMs when what is left is answered, so that SIGKILL finds nothing
 */
record ShutdownSchedule(long stopListeningAfterMs, long closeConnectionsAfterMs, long respondToAllAfterMs) {

    private static final long LISTEN_MS = 500;
    private static final long KEEP_CONNECTIONS_MS = 1_500;
    private static final long MAX_DEADLINE_MS = 3_000;
    private static final long DEADLINE_SLACK_MS = 400;

    /**
     * The times for settings.
     *
     * @param hasSuccessor another process listens at the same address
     */
    static ShutdownSchedule of(long longestDeadlineMs, boolean hasSuccessor) {
        long deadlineMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS);
        long listenMs = hasSuccessor ? 0 : LISTEN_MS;
        // What is taken last still has the slack: a client that goes on sending up to the end has to find
        // its connection closed before there is no time left to answer.
        return new ShutdownSchedule(listenMs,
                Math.min(listenMs + KEEP_CONNECTIONS_MS, Math.max(listenMs, deadlineMs)),
                Math.max(listenMs, deadlineMs + DEADLINE_SLACK_MS));
    }
}
