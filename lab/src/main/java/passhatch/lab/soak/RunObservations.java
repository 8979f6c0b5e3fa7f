package passhatch.lab.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Everything that clients, backends and discovery observed in a run. Times are as of {@link System#nanoTime}.
 * Thread-safe.
 */
final class RunObservations {

    /** The outcome of a request as its client saw it. */
    enum RequestOutcome {
        /** A complete response that the protocol allows. */
        ANSWERED,
        /** A response of status 200 whose body is not the one of a backend to this request. */
        FORGED,
        /** The connection was closed before a complete response. */
        CLOSED,
        /** No response by the deadline plus its slack. */
        NO_ANSWER,
        /** The client closed the connection without waiting for the response. */
        LEFT,
        /** The request could not be written completely. */
        NOT_TAKEN
    }

    /**
     * A request as its client saw it.
     *
     * @param firstOnConnection whether it was the first request on its connection
     * @param endedNs time when the request ended; for {@link RequestOutcome#LEFT} when the connection was
     *     closed
     */
    record Sent(String id, int proxy, RequestKind kind, boolean firstOnConnection, long sentNs,
            long deadlineNs, RequestOutcome end, int status, long endedNs) { }

    /**
     * An attempt as a backend saw it, with the time left until the deadline in its header, in nanoseconds.
     */
    record Arrival(String id, String server, long atNs, long leftNs, boolean mayHaveRun) { }

    /** The time during which a server was not listed as serving; also used for outages of discovery. */
    record Removal(String server, long fromNs, long untilNs) { }

    private final ConcurrentLinkedQueue<Sent> requests = new ConcurrentLinkedQueue<>();
    private final Map<String, ConcurrentLinkedQueue<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Removal> removals = new ConcurrentLinkedQueue<>();
    /**
     * The times when discovery was unreachable or moved; the time for notifying proxies starts again at their
     * end.
     */
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

    /** Ends the last removal of a server because it is listed as serving again. */
    void relisted(String server, long atNs) {
        Removal latest = null;
        for (Removal removal : removals) {
            latest = removal.server().equals(server) ? removal : latest;
        }
        if (latest != null && removals.remove(latest)) {
            removals.add(new Removal(server, latest.fromNs(), atNs));
        }
    }

    /** Records a time when discovery was unreachable or moved. */
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
