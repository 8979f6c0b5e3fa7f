package passhatch.proxy;

import java.util.List;
import passhatch.Balancer.Census;

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

    private final List<String> classes;
    /** By end and class. */
    private final long[][] ended;
    private long dispatches;

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

    /** All figures, one a line. */
    String text(int concurrent, Census servers) {
        StringBuilder text = new StringBuilder();
        for (End how : End.values()) {
            for (int kind = 0; kind < classes.size(); kind++) {
                line(text, how.figure + "." + classes.get(kind), ended[how.ordinal()][kind]);
            }
        }
        line(text, "dispatches", dispatches);
        line(text, "concurrent", concurrent);
        line(text, "targets", servers.listed());
        line(text, "targets_disabled", servers.avoided());
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
