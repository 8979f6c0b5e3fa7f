package passhatch.proxy;

import passhatch.proxy.EventLog.Kind;

/**
 * Whether this process is ready for clients, which it is once it has received a list of backends. If
 * discovery is polled, a process without a response is expected to use the list that it has, so after
 * {@link #MAX_LIST_WAIT_US} it becomes ready with the cached list. If discovery pushes lists, changes that
 * the process has not received count as known to it from its start, so it waits for a list.
 */
final class Readiness {

    /**
     * Time after the start at which the cached list is used. Most calls for the list that are answered at
     * all are answered within this time, even while many processes call discovery at once.
     */
    static final long MAX_LIST_WAIT_US = 4_000_000;

    private final Clock clock;
    private final EventLog log;
    private final boolean mayUseCachedList;
    private final long startedUs;
    private boolean listReceived;
    private boolean usesCachedList;
    private Runnable onListReceived = () -> { };

    Readiness(Clock clock, EventLog log, ProxyConfig config) {
        this.clock = clock;
        this.log = log;
        this.mayUseCachedList = config.settings().watch() && !config.cachedList().endpoints().isEmpty();
        this.startedUs = clock.nowUs();
    }

    /** Whether this process is ready; it may become ready with the cached list in this call. */
    boolean isReady() {
        if (!listReceived && !usesCachedList && mayUseCachedList
                && clock.nowUs() - startedUs >= MAX_LIST_WAIT_US) {
            usesCachedList = true;
            log.line(Kind.DISCOVERY, "no list received from discovery in time: ready with the cached list");
        }
        return listReceived || usesCachedList;
    }

    /** Notes that a list has been received and runs the callback that waits for it. */
    void setListReceived() {
        listReceived = true;
        Runnable callback = onListReceived;
        onListReceived = () -> { };
        callback.run();
    }

    /** Runs the callback once, when a list is received, or immediately if one has been received already. */
    void whenListReceived(Runnable callback) {
        if (listReceived) {
            callback.run();
        } else {
            onListReceived = callback;
        }
    }
}
