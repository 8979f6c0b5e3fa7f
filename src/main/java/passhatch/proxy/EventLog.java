package passhatch.proxy;

import java.io.PrintStream;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The proxy's log, with one line per abnormal event. If events arrive faster than the log's reader takes
 * them, writing would block the event loop. So for events that clients, backends and other outside causes
 * trigger, the number of lines of each kind per time window is limited; a line in a later window says how
 * many were suppressed.
 */
final class EventLog {

    private static final int MAX_LINES_PER_WINDOW = 5;
    private static final int MAX_FREQUENT_LINES_PER_WINDOW = 60;
    private static final long WINDOW_NS = TimeUnit.SECONDS.toNanos(10);

    /** Kinds of events that outside causes can trigger at any rate; each has a limit of its own. */
    enum Kind {
        REQUEST(MAX_LINES_PER_WINDOW),
        CLIENT(MAX_LINES_PER_WINDOW),
        /** A client left before its responses. */
        CLIENT_LEFT(MAX_LINES_PER_WINDOW),
        EVICTION(MAX_LINES_PER_WINDOW),
        ATTEMPT(MAX_LINES_PER_WINDOW),
        BACKEND(MAX_LINES_PER_WINDOW),
        /**
         * Limited to more lines, as all knowledge about the backends comes from discovery and the proxy
         * itself decides how often it calls discovery.
         */
        DISCOVERY(MAX_FREQUENT_LINES_PER_WINDOW),
        MODULE(MAX_LINES_PER_WINDOW),
        CONSOLE(MAX_LINES_PER_WINDOW),
        /** A rule on sending attempts was violated, which is an error in this program. */
        VIOLATION(MAX_FREQUENT_LINES_PER_WINDOW),
        /** An error in this program. */
        BUG(MAX_LINES_PER_WINDOW),
        /** The event loop did not run for a while. */
        STANDSTILL(MAX_LINES_PER_WINDOW);

        private final int maxLinesPerWindow;

        Kind(int maxLinesPerWindow) {
            this.maxLinesPerWindow = maxLinesPerWindow;
        }
    }

    /** Line counts of one kind in its current time window. */
    private static final class Window {
        long startNs = System.nanoTime();
        int lines;
        int suppressed;
    }

    private final PrintStream out;
    private final Map<Kind, Window> windows = new EnumMap<>(Kind.class);

    EventLog(PrintStream out) {
        this.out = out;
    }

    /** Writes a line, with no limit. */
    void line(String text) {
        out.println(Instant.now() + " " + text);
    }

    /** Writes a line unless its kind has reached the limit of the current window. */
    void line(Kind kind, String text) {
        if (admits(kind)) {
            line(text);
        }
    }

    /** Counts an event and returns whether it is to be written. */
    private boolean admits(Kind kind) {
        Window window = windows.computeIfAbsent(kind, k -> new Window());
        long nowNs = System.nanoTime();
        if (nowNs - window.startNs >= WINDOW_NS) {
            if (window.suppressed > 0) {
                line(window.suppressed + " log lines of kind " + kind + " were suppressed");
            }
            window.startNs = nowNs;
            window.lines = 0;
            window.suppressed = 0;
        }
        if (window.lines++ < kind.maxLinesPerWindow) {
            return true;
        }
        window.suppressed++;
        return false;
    }

    /** Logs an error in this program, with its stack trace and the word BUG, unless there were many. */
    void bug(String text, Throwable cause) {
        if (admits(Kind.BUG)) {
            line("BUG " + text);
            cause.printStackTrace(out);
        }
    }
}
