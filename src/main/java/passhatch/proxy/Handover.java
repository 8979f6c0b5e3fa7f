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
 * What staff set by hand, kept so that it holds for a second process of this proxy too and outlives this one;
 * and the view of that other process, while there is one. Owned by the loop; see docs/upgrade.md.
 */
final class Handover {

    /** How often the files are looked at: the other process waits for it before it says yes. */
    private static final long POLL_INTERVAL_MS = 50;
    /** A yes waits so long for the other process to follow; one that hangs must not hold it back for good. */
    private static final long MAX_CONFIRMATION_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Hears what holds now. */
    interface Listener {
        void stateChanged(SharedState state);

        /** Whether this process has the machine to itself. */
        void aloneChanged(boolean alone);
    }

    /** An answer that waits for the other process. */
    private record PendingChange(long version, long deadlineNs, Consumer<Boolean> onDone) { }

    private final EventLoop loop;
    private final EventLog log;
    private final Listener listener;
    /** Null where there is no place to keep anything: then all holds for this process alone. */
    private final StateDirectory directory;
    private final List<PendingChange> pendingChanges = new ArrayList<>();
    private List<StateDirectory.Peer> peers = List.of();
    private SharedState state = SharedState.INITIAL;
    /** The text that was last read, not to complain of the same twice. */
    private String lastReadText;
    private boolean serving;
    private boolean alone = true;
    private Future<?> pollTimer;

    /** Looks for other processes, and for what is set, once before it returns. */
    Handover(EventLoop loop, EventLog log, Path path, String proxyName, Listener listener) {
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        this.directory = openDirectory(path, proxyName);
        if (directory != null) {
            poll();
            pollTimer = loop.scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private StateDirectory openDirectory(Path path, String proxyName) {
        if (path == null) {
            return null;
        }
        try {
            return new StateDirectory(path, proxyName);
        } catch (IOException | RuntimeException e) {
            log.line("handover: nothing can be kept in " + path + ": " + e);
            return null;
        }
    }

    /** Whether another process lives. */
    boolean hasPeer() {
        return !peers.isEmpty();
    }

    /** Whether a process that started later serves: it takes all that this one leaves. */
    boolean hasSuccessor() {
        poll();
        return peers.stream().anyMatch(p -> p.serving() && directory.startedAfterThis(p));
    }

    /** Tells the others that this process takes clients, or that it does not any more. */
    void setServing(boolean isServing) {
        serving = isServing;
        publishStatus();
    }

    /** Changes what is set; says yes once that is kept and the other process follows it too. */
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
            // Above what the other follows too: it may have read a file that this process could not.
            long latestVersion = peers.stream().mapToLong(StateDirectory.Peer::appliedVersion)
                    .reduce(state.version(), Math::max);
            SharedState changed = update.apply(state).withVersion(latestVersion + 1);
            directory.writeState(changed);
            apply(changed);
            poll();
            pendingChanges.add(new PendingChange(changed.version(), deadlineNs, onDone));
            completePendingChanges();
        } catch (Exception e) {
            log.line("handover: not kept, so it does not hold: " + e);
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
            log.line(EventLog.Kind.CONSOLE, "handover: " + e);
        }
        if (alone != peers.isEmpty()) {
            alone = peers.isEmpty();
            log.line(alone ? "handover: the other process is gone" : "handover: another process is here");
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
                // What this process follows still holds, and has to outlive it.
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
            log.line(EventLog.Kind.CONSOLE, "handover: " + e);
        }
    }

    private void completePendingChanges() {
        long nowNs = System.nanoTime();
        List<PendingChange> completed = new ArrayList<>();
        pendingChanges.removeIf(change -> isComplete(change, nowNs) && completed.add(change));
        completed.forEach(change -> change.onDone().accept(true));
    }

    private boolean isComplete(PendingChange change, long nowNs) {
        return nowNs - change.deadlineNs() >= 0
                || peers.stream().allMatch(p -> p.appliedVersion() >= change.version());
    }

    /** Takes this process's signs away; what is set stays. */
    void close() {
        if (directory == null) {
            return;
        }
        pollTimer.cancel(false);
        try {
            directory.close();
        } catch (IOException e) {
            log.line("handover: " + e);
        }
    }
}
