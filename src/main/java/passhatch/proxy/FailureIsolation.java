package passhatch.proxy;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs pieces of work apart from each other: what one throws is logged as an error of this program, and the
 * others run all the same. A piece that owes something to others comes with a recovery that settles it.
 */
final class FailureIsolation {

    private static final Runnable NO_RECOVERY = () -> { };

    private FailureIsolation() { }

    /**
     * Runs the work.
     *
     * @param name what the log calls the work if it throws
     * @return false if it has thrown
     */
    static boolean run(EventLog log, String name, Runnable work) {
        return run(log, name, work, NO_RECOVERY);
    }

    /**
     * Runs the work, and the recovery if the work throws. What the recovery throws is logged too.
     *
     * @param name what the log calls the work if it throws
     * @return false if the work has thrown
     */
    static boolean run(EventLog log, String name, Runnable work, Runnable recovery) {
        try {
            work.run();
            return true;
        } catch (RuntimeException | Error thrown) {
            logBug(log, "in " + name, thrown);
        }
        try {
            recovery.run();
        } catch (RuntimeException | Error thrown) {
            logBug(log, "in the recovery from an error in " + name, thrown);
        }
        return false;
    }

    /** Does the work for each item that is there now, and the recovery for each on which it throws. */
    static <T> void forEach(EventLog log, String name, Collection<T> items, Consumer<T> work,
            Consumer<T> recovery) {
        for (T item : List.copyOf(items)) {
            run(log, name, () -> work.accept(item), () -> recovery.accept(item));
        }
    }

    /** Returns a task that runs the work as {@link #run(EventLog, String, Runnable)} does. */
    static Runnable isolated(EventLog log, String name, Runnable work) {
        return isolated(log, name, work, NO_RECOVERY);
    }

    /** Returns a task that runs the work as {@link #run(EventLog, String, Runnable, Runnable)} does. */
    static Runnable isolated(EventLog log, String name, Runnable work, Runnable recovery) {
        return () -> run(log, name, work, recovery);
    }

    /** Logs an error of this program; even if that fails, as without memory, the recovery has to run. */
    private static void logBug(EventLog log, String text, Throwable thrown) {
        try {
            log.bug(text, thrown);
        } catch (RuntimeException | Error unlogged) {
            thrown.addSuppressed(unlogged);
        }
    }
}
