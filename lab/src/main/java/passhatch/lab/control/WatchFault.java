package passhatch.lab.control;

import java.time.Duration;
import passhatch.lab.discovery.DiscoveryServer;

/** What makes proxies open all their watches anew. */
enum WatchFault {
    /** All open watches say nothing more; discovery itself is well. */
    SILENCE("silence"),
    /** All open watches are reset. */
    RESET("reset"),
    /** Discovery dies and comes back without its history: whoever missed something gets the whole list. */
    OUTAGE("outage");

    private final String title;

    WatchFault(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    /** Begins it, and lets it last; returns when calls may succeed again at the next step. */
    void begin(DiscoveryServer discovery, Duration outage) throws InterruptedException {
        switch (this) {
            case SILENCE -> discovery.silenceWatches(Integer.MAX_VALUE);
            case RESET -> discovery.resetWatches();
            default -> {
                discovery.crash();
                Thread.sleep(outage.toMillis());
            }
        }
    }

    /** Ends what does not end by itself. */
    void end(DiscoveryServer discovery) {
        if (this == OUTAGE) {
            discovery.restart(false);
        }
    }
}
