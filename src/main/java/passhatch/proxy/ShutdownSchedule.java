package passhatch.proxy;

/**
 * Times of the steps of a graceful shutdown, in milliseconds after SIGTERM. SIGKILL follows SIGTERM no sooner
 * than 0.7 s after the longest deadline of the request classes, which counts as at most 3 s. So with short
 * deadlines all steps have to come earlier.
 *
 * @param stopListeningAfterMs when the proxy stops accepting connections; new ones arrive for up to 0.4 s
 * @param closeConnectionsAfterMs when the proxy begins to close each connection after its last response, and
 *     idle connections. Until then it accepts requests on open connections as before, because during a
 *     rolling restart of the proxies clients may have no other proxy to connect to
 * @param respondToAllAfterMs when every request that is still pending gets a final response, so that none is
 *     pending at SIGKILL
 */
record ShutdownSchedule(long stopListeningAfterMs, long closeConnectionsAfterMs, long respondToAllAfterMs) {

    /** Longer than the 0.4 s for which new connections arrive. */
    private static final long LISTEN_MS = 500;
    /** Longest time for which open connections are used as before once the proxy no longer listens. */
    private static final long KEEP_CONNECTIONS_MS = 1_500;
    /** The longest deadline that delays SIGKILL. */
    private static final long MAX_DEADLINE_MS = 3_000;
    /** Time after the longest deadline until pending requests get their final response. */
    private static final long DEADLINE_SLACK_MS = 400;

    /**
     * Computes the schedule.
     *
     * @param longestDeadlineMs longest deadline of the request classes, in milliseconds
     * @param hasSuccessor whether another process listens on the same address, so that this one can stop
     *     listening at once
     */
    static ShutdownSchedule of(long longestDeadlineMs, boolean hasSuccessor) {
        long deadlineMs = Math.min(longestDeadlineMs, MAX_DEADLINE_MS);
        long listenMs = hasSuccessor ? 0 : LISTEN_MS;
        // Connections begin to close at least the slack before the final responses: a client that keeps
        // sending requests must find its connection closed while there is still time to answer the last of
        // them.
        return new ShutdownSchedule(listenMs,
                Math.min(listenMs + KEEP_CONNECTIONS_MS, Math.max(listenMs, deadlineMs)),
                Math.max(listenMs, deadlineMs + DEADLINE_SLACK_MS));
    }
}
