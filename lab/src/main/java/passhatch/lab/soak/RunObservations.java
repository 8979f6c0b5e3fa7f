package passhatch.lab.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients, backends and discovery saw in a run; times are {@link System#nanoTime}. */
final class RunObservations {

    /** How a request ended for its client. */
    enum RequestOutcome {
        /** A whole answer that the protocol allows. */
        ANSWERED,
        /** A 200 that is not the answer of a backend to this request. */
        FORGED,
        /** Its connection ended before a whole answer. */
        CLOSED,
        /** No answer by the end of its time and of the slack. */
        NO_ANSWER,
        /** The client closed its connection before the answer. */
        LEFT,
        /** It was never written whole, or the connection was refused. */
        NOT_TAKEN
    }

    /**
     * A request as its client saw it.
     *
     * @param firstOnConnection whether its connection was new
     * @param endedNs when it ended, for {@link RequestOutcome#LEFT} when the connection was closed
     */
    record Sent(String id, int proxy, RequestKind kind, boolean firstOnConnection, long sentNs,
            long deadlineNs, RequestOutcome end, int status, long endedNs) { }

    /** An attempt as a backend saw it, with the time that it was told is left. */
    record Arrival(String id, String server, long atNs, long leftNs, boolean mayHaveRun) { }

    /** A server's removal from the list, until it was listed again. */
    record Removal(String server, long fromNs, long untilNs) { }

    private final ConcurrentLinkedQueue<Sent> requests = new ConcurrentLinkedQueue<>();
    private final Map<String, ConcurrentLinkedQueue<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Removal> removals = new ConcurrentLinkedQueue<>();
    /** When discovery could last not be reached, or was last moved: what it tells counts from then. */
    private final ConcurrentLinkedQueue<Removal> outages = new ConcurrentLinkedQueue<>();

    void add(Sent request) {
        requests.add(request);
    }

    void add(Arrival arrival) {
        arrivals.computeIfAbsent(arrival.id(), id -> new ConcurrentLinkedQueue<>()).add(arrival);
    }

    void add(Removal removal) {
        removals.add(removal);
    }

    /** The server is listed again: its last removal ends. */
    void relisted(String server, long atNs) {
        Removal latest = null;
        for (Removal removal : removals) {
            latest = removal.server().equals(server) ? removal : latest;
        }
        if (latest != null && removals.remove(latest)) {
            removals.add(new Removal(server, latest.fromNs(), atNs));
        }
    }

    void addOutage(long fromNs, long untilNs) {
        outages.add(new Removal("", fromNs, untilNs));
    }

    List<Sent> requests() {
        return List.copyOf(requests);
    }

    List<Removal> removals() {
        return List.copyOf(removals);
    }

    List<Removal> outages() {
        return List.copyOf(outages);
    }

    /** The attempts of a request, in the order of their arrival. */
    List<Arrival> arrivals(String id) {
        ConcurrentLinkedQueue<Arrival> recorded = arrivals.get(id);
        return recorded == null ? List.of() : List.copyOf(recorded);
    }

    List<Arrival> allArrivals() {
        return arrivals.values().stream().flatMap(ConcurrentLinkedQueue::stream).toList();
    }
}
