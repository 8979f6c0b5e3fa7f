package passhatch.proxy;

import passhatch.proxy.EventLog.Kind;

/**
 * Whether this process may be put to use: once a list of backends has come in. Where discovery is asked, a
 * process that has had no answer is held to the list it has, so one that waited long enough starts with the
 * list remembered. Where lists are pushed, what it missed counts as told from its first moment, so it waits.
 */
final class Readiness {

    /** A call for the list that is answered at all is mostly answered by then, also in a crowd. */
    static final long MOST_WAIT_US = 4_000_000;

    private final Clock clock;
    private final EventLog log;
    private final boolean mayRemember;
    private final long sinceUs;
    private boolean listed;
    private boolean remembers;
    private Runnable onListed = () -> { };

    Readiness(Clock clock, EventLog log, ProxyConfig config) {
        this.clock = clock;
        this.log = log;
        this.mayRemember = config.settings().watch() && !config.known().endpoints().isEmpty();
        this.sinceUs = clock.nowUs();
    }

    boolean isReady() {
        if (!listed && !remembers && mayRemember && clock.nowUs() - sinceUs >= MOST_WAIT_US) {
            remembers = true;
            log.line(Kind.DISCOVERY, "no list has come in: ready with the one that is remembered");
        }
        return listed || remembers;
    }

    void listed() {
        listed = true;
        Runnable then = onListed;
        onListed = () -> { };
        then.run();
    }

    /** Calls back, once, when a list has come in, at once where one has. */
    void whenListed(Runnable then) {
        if (listed) {
            then.run();
        } else {
            onListed = then;
        }
    }
}
