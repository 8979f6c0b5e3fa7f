package passhatch.proxy;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import passhatch.Balancer.GiveUpReason;
import passhatch.Balancer.ServerCounts;

/** What this process has done since its start, counted where it happens and put into words when asked. */
final class Metrics {

    private static final String PREFIX = "edge_proxy.";

    /** How a request ended. */
    enum RequestResult {
        SUCCESS("success"),
        OVERLOAD("overload"),
        ERROR("error");

        private final String metric;

        RequestResult(String figure) {
            this.metric = figure;
        }
    }

    /** Takes metrics, by name. */
    interface Sink {
        void add(String name, long value);
    }

    private final List<String> classNames;
    /** By end and class. */
    private final long[][] endedRequests;
    private long dispatches;
    private long retries;
    private final long[] gaveUpRequests = new long[GiveUpReason.values().length];

    Metrics(List<String> classes) {
        this.classNames = classes;
        this.endedRequests = new long[RequestResult.values().length][classes.size()];
    }

    /** Counts a request that its client waited for to the end. */
    void requestEnded(int requestClass, RequestResult result) {
        endedRequests[result.ordinal()][requestClass]++;
    }

    /** Counts an attempt whose last byte was written. */
    void attemptSent() {
        dispatches++;
    }

    /** Counts an attempt after the first of its request. */
    void retrySent() {
        retries++;
    }

    /** Counts a request that ends without a server's answer. */
    void requestGivenUp(GiveUpReason reason) {
        gaveUpRequests[reason.ordinal()]++;
    }

    /** All figures, one a line. */
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
        sources.forEach(source -> source.accept(sink));
        return text.toString();
    }

    /** The name of a constant as figures have it. */
    static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
