package passhatch;

/** One attempt of a call. */
final class Attempt {
    final ServerState server;
    final long sentAtUs;
    /** Calls ahead of it at its server as far as was known, and itself. */
    final double loadAtSend;
    /** True where that included other copies' calls. */
    final boolean loadKnown;
    final Call call;
    /** When it should have ended by all that is known; an attempt out longer is overdue. */
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

    /** Whether it is out and nothing of its answer has come. */
    boolean isAwaitingResponse() {
        return inFlight && call.committedAttempt != this;
    }

    /** Whether its server had just said that it was idle. */
    boolean serverReportedIdle() {
        return loadKnown && loadAtSend == call.relativeWork;
    }
}
