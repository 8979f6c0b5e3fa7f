package passhatch.lab.control;

import java.time.Duration;
import passhatch.lab.discovery.DiscoveryServer;

/** A fault that makes all proxies reopen their watches. */
enum WatchFault {
    /** All open watches stay open but send nothing more; discovery itself works. */
    SILENCE("silence"),
    /** The connections of all open watches are reset. */
    RESET("reset"),
    /**
     * Discovery is down and restarts without its history, so callers that missed a change get the full list.
     */
    OUTAGE("outage");

    private final String title;

    WatchFault(String title) {
        this.title = title;
    }

    /** The name of the fault in results. */
    String title() {
        return title;
    }

    /**
     * Injects the fault.
     *
     * @param outage how long {@link #OUTAGE} blocks with discovery down; discovery stays down until
     *     {@link #end}
     */
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

    /** Restarts discovery after {@link #OUTAGE}; the other faults need no repair. */
    void end(DiscoveryServer discovery) {
        if (this == OUTAGE) {
            discovery.restart(false);
        }
    }
}
