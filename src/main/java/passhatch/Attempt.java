package passhatch;

/** One attempt to have a server process a call. */
final class Attempt {
    final ServerState server;
    final long sentAtUs;
    /**
     * The load of its server when it was sent, as far as known: the calls in flight there, plus this one
     * weighted by its relative work.
     */
    final double loadAtSend;
    /** Whether that load includes the calls of other replicas. */
    final boolean loadKnown;
    final Call call;
    /** When it counts as overdue if it is still in flight. Not set while no service time is known. */
    long overdueAtUs;
    boolean inFlight = true;
    boolean provedNotRun;
    boolean overdue;

    Attempt(Call call, ServerState server, long sentAtUs, double loadAtSend, boolean loadKnown) {
        this.call = call;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.loadAtSend = loadAtSend;
        this.loadKnown = loadKnown;
    }

    /** Whether it is in flight and no part of its response has come. */
    boolean isAwaitingResponse() {
        return inFlight && call.committedAttempt != this;
    }

    /** Whether its server had reported just before that it was idle. */
    boolean serverReportedIdle() {
        return loadKnown && loadAtSend == call.relativeWork;
    }
}
