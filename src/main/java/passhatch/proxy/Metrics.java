package passhatch.proxy;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import passhatch.Balancer.GiveUpReason;
import passhatch.Balancer.ServerCounts;

/** Counters of this process since its start, and their text form for operators. */
final class Metrics {

    private static final String PREFIX = "edge_proxy.";

    /** The result of a request, as it is counted. */
    enum RequestResult {
        SUCCESS("success"),
        OVERLOAD("overload"),
        ERROR("error");

        private final String metric;

        RequestResult(String metric) {
            this.metric = metric;
        }
    }

    /** Receives metrics. */
    interface Sink {
        /**
         * Adds a metric.
         *
         * @param name its name without the prefix {@code edge_proxy.}
         */
        void add(String name, long value);
    }

    private final List<String> classNames;
    /** Number of ended requests, by result and request class. */
    private final long[][] endedRequests;
    private long dispatches;
    private long retries;
    private long refusedForMemory;
    private long lateResponses;
    private long longestLatenessUs;
    private final long[] gaveUpRequests = new long[GiveUpReason.values().length];

    Metrics(List<String> classes) {
        this.classNames = classes;
        this.endedRequests = new long[RequestResult.values().length][classes.size()];
    }

    /** Counts a request that ended while its client was still waiting. */
    void requestEnded(int requestClass, RequestResult result) {
        endedRequests[result.ordinal()][requestClass]++;
    }

    /** Counts an attempt whose last byte has been written to its connection. */
    void attemptSent() {
        dispatches++;
    }

    /** Counts an attempt that is not the first of its request. */
    void retrySent() {
        retries++;
    }

    /** Counts a request that was refused because too many bytes are held for others. */
    void requestRefusedForMemory() {
        refusedForMemory++;
    }

    /**
     * Counts a final response that was given after its client's time.
     *
     * @param latenessUs how long after it, in microseconds
     */
    void responseLate(long latenessUs) {
        lateResponses++;
        longestLatenessUs = Math.max(longestLatenessUs, latenessUs);
    }

    /** Counts a request that ended without a response of a server. */
    void requestGivenUp(GiveUpReason reason) {
        gaveUpRequests[reason.ordinal()]++;
    }

    /**
     * All metrics as text, one per line.
     *
     * @param concurrent number of requests in progress
     * @param servers numbers of listed and of unavailable servers
     * @param sources add the metrics of other components
     */
    String text(int concurrent, ServerCounts servers, List<Consumer<Sink>> sources) {
        StringBuilder text = new StringBuilder();
        Sink sink = (name, value) -> appendLine(text, name, value);
        for (RequestResult result : RequestResult.values()) {
            for (int requestClass = 0; requestClass < classNames.size(); requestClass++) {
                appendLine(text, result.metric + "." + classNames.get(requestClass),
                        endedRequests[result.ordinal()][requestClass]);
            }
        }
        appendLine(text, "dispatches", dispatches);
        appendLine(text, "concurrent", concurrent);
        appendLine(text, "targets", servers.listed());
        appendLine(text, "targets_disabled", servers.unavailable());
        sink.add("retries", retries);
        for (GiveUpReason reason : GiveUpReason.values()) {
            sink.add("gave_up." + lowerCase(reason), gaveUpRequests[reason.ordinal()]);
        }
        sink.add("memory.requests_refused", refusedForMemory);
        sink.add("responses_late", lateResponses);
        sink.add("responses_late_ms_max", longestLatenessUs / 1_000);
        sources.forEach(source -> source.accept(sink));
        return text.toString();
    }

    /** The name of a constant as it appears in metric names. */
    static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
