package passhatch.proxy;

import passhatch.proxy.EventLog.Kind;

/**
 * Whether this process may be put to use: once a list of backends has come in. Where discovery is asked, a
 * process that has had no answer is held to the list it has, so one that waited long enough starts with the
 * list remembered. Where lists are pushed, what it missed counts as told from its first moment, so it waits.
 */
final class Readiness {

    /** A call for the list that is answered at all is mostly answered by then, also in a crowd. */
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

    boolean isReady() {
        if (!listReceived && !usesCachedList && mayUseCachedList
                && clock.nowUs() - startedUs >= MAX_LIST_WAIT_US) {
            usesCachedList = true;
            log.line(Kind.DISCOVERY, "no list has come in: ready with the one that is remembered");
        }
        return listReceived || usesCachedList;
    }

    void setListReceived() {
        listReceived = true;
        Runnable callback = onListReceived;
        onListReceived = () -> { };
        callback.run();
    }

    /** Calls back, once, when a list has come in, at once where one has. */
    void whenListReceived(Runnable callback) {
        if (listReceived) {
            callback.run();
        } else {
            onListReceived = callback;
        }
    }
}
