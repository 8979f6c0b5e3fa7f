package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Shares the state that operators set with the other processes of this proxy, through files that outlive
 * each process, and keeps track of which other processes are running. Owned by the event loop; see
 * docs/upgrade.md.
 */
final class Handover {

    /** Interval of reading the files; another process waits that long before it confirms a change. */
    private static final long POLL_INTERVAL_MS = 50;
    /**
     * Longest time for which the confirmation of a change waits for the other processes to apply it. A
     * process that hangs must not delay it for ever.
     */
    private static final long MAX_CONFIRMATION_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Is notified of changes. */
    interface Listener {
        /** The state that is now in effect. */
        void stateChanged(SharedState state);

        /** Called when the first other process of this proxy appears and when the last one has ended. */
        void aloneChanged(boolean alone);
    }

    /**
     * A stored change whose confirmation waits for the other processes to apply it.
     *
     * @param version version of the changed state
     * @param deadlineNs when to confirm it in any case, on the scale of {@link System#nanoTime}
     * @param onDone receives the confirmation
     */
    private record PendingChange(long version, long deadlineNs, Consumer<Boolean> onDone) { }

    private final EventLoop loop;
    private final EventLog log;
    private final Listener listener;
    /** Null if there is no usable directory; then changes apply to this process only. */
    private final StateDirectory directory;
    private final List<PendingChange> pendingChanges = new ArrayList<>();
    private List<StateDirectory.Peer> peers = List.of();
    private SharedState state = SharedState.INITIAL;
    /** The text that was read last, so that the same unreadable text is logged only once. */
    private String lastReadText;
    private boolean serving;
    private boolean alone = true;
    private Future<?> pollTimer;

    /**
     * Reads the state and looks for other processes before it returns, and at intervals from then on.
     *
     * @param path the directory for the files, or null if there is none
     * @param proxyName the name that the processes of this proxy share
     */
    Handover(EventLoop loop, EventLog log, Path path, String proxyName, Listener listener) {
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        this.directory = openDirectory(path, proxyName);
        if (directory != null) {
            poll();
            pollTimer = loop.scheduleWithFixedDelay(
                    FailureIsolation.isolated(log, "the poll of the shared state", this::poll),
                    POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private StateDirectory openDirectory(Path path, String proxyName) {
        if (path == null) {
            return null;
        }
        try {
            return new StateDirectory(path, proxyName);
        } catch (IOException | RuntimeException e) {
            log.line("handover: the state directory " + path
                    + " cannot be used, so changes apply to this process only: " + e);
            return null;
        }
    }

    /** Whether another process of this proxy was running at the last poll. */
    boolean hasPeer() {
        return !peers.isEmpty();
    }

    /** Whether a process that started later accepts clients, so that this one can leave them to it. */
    boolean hasSuccessor() {
        poll();
        return peers.stream().anyMatch(p -> p.serving() && directory.startedAfterThis(p));
    }

    /** Publishes whether this process accepts clients. */
    void setServing(boolean isServing) {
        serving = isServing;
        publishStatus();
    }

    /**
     * Changes the state.
     *
     * @param update computes the changed state from the current one
     * @param onDone receives true once the change is stored and the other processes apply it too, or have not
     *     done so in time; false if it could not be stored and so is not in effect
     */
    void change(UnaryOperator<SharedState> update, Consumer<Boolean> onDone) {
        if (directory == null) {
            apply(update.apply(state));
            onDone.accept(true);
            return;
        }
        change(update, onDone, System.nanoTime() + MAX_CONFIRMATION_WAIT_NS);
    }

    private void change(UnaryOperator<SharedState> update, Consumer<Boolean> onDone, long deadlineNs) {
        try (AutoCloseable lock = directory.tryLock()) {
            if (lock == null) {
                if (System.nanoTime() - deadlineNs >= 0) {
                    throw new IOException("another process holds the lock");
                }
                loop.schedule(() -> change(update, onDone, deadlineNs), 2, TimeUnit.MILLISECONDS);
                return;
            }
            readState();
            // Also higher than the versions that other processes apply, as one may have read a file that this
            // process could not read.
            long latestVersion = peers.stream().mapToLong(StateDirectory.Peer::appliedVersion)
                    .reduce(state.version(), Math::max);
            SharedState changed = update.apply(state).withVersion(latestVersion + 1);
            directory.writeState(changed);
            apply(changed);
            poll();
            pendingChanges.add(new PendingChange(changed.version(), deadlineNs, onDone));
            completePendingChanges();
        } catch (Exception | Error e) {
            log.line("handover: the change could not be stored and is not in effect: " + e);
            onDone.accept(false);
        }
    }

    private void poll() {
        if (directory == null) {
            return;
        }
        try {
            readState();
            peers = directory.peers();
        } catch (IOException | RuntimeException e) {
            log.line(EventLog.Kind.CONSOLE, "handover: polling the state directory failed: " + e);
        }
        if (alone != peers.isEmpty()) {
            alone = peers.isEmpty();
            log.line(alone ? "handover: the other process has ended"
                    : "handover: another process of this proxy is running");
            listener.aloneChanged(alone);
        }
        completePendingChanges();
    }

    private void readState() throws IOException {
        String text = directory.readState();
        if (text == null || text.equals(lastReadText)) {
            return;
        }
        lastReadText = text;
        SharedState stored;
        try {
            stored = SharedState.fromJson(text);
        } catch (IOException | RuntimeException e) {
            log.line("handover: what staff set cannot be read and is ignored: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            if (state.version() > 0) {
                // The state that this process applies is still in effect and must outlive the process.
                directory.writeState(state);
            }
            return;
        }
        if (stored.version() > state.version()) {
            apply(stored);
        }
    }

    private void apply(SharedState newState) {
        state = newState;
        listener.stateChanged(newState);
        publishStatus();
    }

    private void publishStatus() {
        if (directory == null) {
            return;
        }
        try {
            directory.publishStatus(serving, state.version());
        } catch (IOException e) {
            log.line(EventLog.Kind.CONSOLE, "handover: the status of this process cannot be written: " + e);
        }
    }

    private void completePendingChanges() {
        long nowNs = System.nanoTime();
        List<PendingChange> completed = new ArrayList<>();
        pendingChanges.removeIf(change -> isComplete(change, nowNs) && completed.add(change));
        FailureIsolation.forEach(log, "the end of a change of the state", completed,
                change -> change.onDone().accept(true), change -> { });
    }

    private boolean isComplete(PendingChange change, long nowNs) {
        return nowNs - change.deadlineNs() >= 0
                || peers.stream().allMatch(p -> p.appliedVersion() >= change.version());
    }

    /** Stops polling and deletes this process's own files; the state stays. */
    void close() {
        if (directory == null) {
            return;
        }
        pollTimer.cancel(false);
        try {
            directory.close();
        } catch (IOException e) {
            log.line("handover: the files of this process cannot be deleted: " + e);
        }
    }
}
