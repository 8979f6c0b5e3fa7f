package passhatch.proxy;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import passhatch.Balancer.GiveUpReason;
import passhatch.Balancer.ServerCounts;

/** What this process has done since its start, counted where it happens and put into words when asked. */
final class Figures {

    private static final String PREFIX = "edge_proxy.";

    /** How a request ended. */
    enum End {
        SUCCESS("success"),
        OVERLOAD("overload"),
        ERROR("error");

        private final String figure;

        End(String figure) {
            this.figure = figure;
        }
    }

    /** Takes metrics, by name. */
    interface Lines {
        void add(String name, long value);
    }

    private final List<String> classes;
    /** By end and class. */
    private final long[][] ended;
    private long dispatches;
    private long retries;
    private final long[] gaveUp = new long[GiveUpReason.values().length];

    Figures(List<String> classes) {
        this.classes = classes;
        this.ended = new long[End.values().length][classes.size()];
    }

    /** Counts a request that its client waited for to the end. */
    void ended(int requestClass, End how) {
        ended[how.ordinal()][requestClass]++;
    }

    /** Counts an attempt whose last byte was written. */
    void dispatched() {
        dispatches++;
    }

    /** Counts an attempt after the first of its request. */
    void retried() {
        retries++;
    }

    /** Counts a request that ends without a server's answer. */
    void gaveUp(GiveUpReason reason) {
        gaveUp[reason.ordinal()]++;
    }

    /** All figures, one a line. */
    String text(int concurrent, ServerCounts servers, List<Consumer<Lines>> others) {
        StringBuilder text = new StringBuilder();
        Lines lines = (name, value) -> line(text, name, value);
        for (End how : End.values()) {
            for (int kind = 0; kind < classes.size(); kind++) {
                line(text, how.figure + "." + classes.get(kind), ended[how.ordinal()][kind]);
            }
        }
        line(text, "dispatches", dispatches);
        line(text, "concurrent", concurrent);
        line(text, "targets", servers.listed());
        line(text, "targets_disabled", servers.unavailable());
        lines.add("retries", retries);
        for (GiveUpReason reason : GiveUpReason.values()) {
            lines.add("gave_up." + lowerCase(reason), gaveUp[reason.ordinal()]);
        }
        others.forEach(other -> other.accept(lines));
        return text.toString();
    }

    /** The name of a constant as figures have it. */
    static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
