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
    private static final long LOOK_MS = 50;
    /** A yes waits so long for the other process to follow; one that hangs must not hold it back for good. */
    private static final long MOST_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Hears what holds now. */
    interface Listener {
        void set(SharedState state);

        /** Whether this process has the machine to itself. */
        void alone(boolean alone);
    }

    /** An answer that waits for the other process. */
    private record Waiting(long version, long untilNs, Consumer<Boolean> done) { }

    private final EventLoop loop;
    private final EventLog log;
    private final Listener listener;
    /** Null where there is no place to keep anything: then all holds for this process alone. */
    private final StateFolder folder;
    private final List<Waiting> waiting = new ArrayList<>();
    private List<StateFolder.Peer> peers = List.of();
    private SharedState state = SharedState.NOTHING_SET;
    /** The text that was last read, not to complain of the same twice. */
    private String read;
    private boolean serving;
    private boolean alone = true;
    private Future<?> looking;

    /** Looks for other processes, and for what is set, once before it returns. */
    Handover(EventLoop loop, EventLog log, Path place, String proxy, Listener listener) {
        this.loop = loop;
        this.log = log;
        this.listener = listener;
        this.folder = open(place, proxy);
        if (folder != null) {
            look();
            looking = loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private StateFolder open(Path place, String proxy) {
        if (place == null) {
            return null;
        }
        try {
            return new StateFolder(place, proxy);
        } catch (IOException | RuntimeException bad) {
            log.line("handover: nothing can be kept in " + place + ": " + bad);
            return null;
        }
    }

    /** Whether another process lives. */
    boolean hasPeer() {
        return !peers.isEmpty();
    }

    /** Whether a process that started later serves: it takes all that this one leaves. */
    boolean hasSuccessor() {
        look();
        return peers.stream().anyMatch(p -> p.serving() && folder.isLater(p));
    }

    /** Tells the others that this process takes clients, or that it does not any more. */
    void serving(boolean isServing) {
        serving = isServing;
        show();
    }

    /** Changes what is set; says yes once that is kept and the other process follows it too. */
    void change(UnaryOperator<SharedState> edit, Consumer<Boolean> done) {
        if (folder == null) {
            follow(edit.apply(state));
            done.accept(true);
            return;
        }
        change(edit, done, System.nanoTime() + MOST_WAIT_NS);
    }

    private void change(UnaryOperator<SharedState> edit, Consumer<Boolean> done, long untilNs) {
        try (AutoCloseable lock = folder.tryLock()) {
            if (lock == null) {
                if (System.nanoTime() - untilNs >= 0) {
                    throw new IOException("another process holds the lock");
                }
                loop.schedule(() -> change(edit, done, untilNs), 2, TimeUnit.MILLISECONDS);
                return;
            }
            readState();
            // Above what the other follows too: it may have read a file that this process could not.
            long latest = peers.stream().mapToLong(StateFolder.Peer::follows)
                    .reduce(state.version(), Math::max);
            SharedState next = edit.apply(state).withVersion(latest + 1);
            folder.writeState(next);
            follow(next);
            look();
            waiting.add(new Waiting(next.version(), untilNs, done));
            answerWaiting();
        } catch (Exception bad) {
            log.line("handover: not kept, so it does not hold: " + bad);
            done.accept(false);
        }
    }

    private void look() {
        if (folder == null) {
            return;
        }
        try {
            readState();
            peers = folder.peers();
        } catch (IOException | RuntimeException bad) {
            log.line(EventLog.Kind.CONSOLE, "handover: " + bad);
        }
        if (alone != peers.isEmpty()) {
            alone = peers.isEmpty();
            log.line(alone ? "handover: the other process is gone" : "handover: another process is here");
            listener.alone(alone);
        }
        answerWaiting();
    }

    private void readState() throws IOException {
        String text = folder.readState();
        if (text == null || text.equals(read)) {
            return;
        }
        read = text;
        SharedState set;
        try {
            set = SharedState.of(text);
        } catch (IOException | RuntimeException bad) {
            log.line("handover: what staff set cannot be read and is ignored: "
                    + String.valueOf(bad.getMessage()).lines().findFirst().orElse(""));
            if (state.version() > 0) {
                // What this process follows still holds, and has to outlive it.
                folder.writeState(state);
            }
            return;
        }
        if (set.version() > state.version()) {
            follow(set);
        }
    }

    private void follow(SharedState set) {
        state = set;
        listener.set(set);
        show();
    }

    private void show() {
        if (folder == null) {
            return;
        }
        try {
            folder.show(serving, state.version());
        } catch (IOException bad) {
            log.line(EventLog.Kind.CONSOLE, "handover: " + bad);
        }
    }

    private void answerWaiting() {
        long now = System.nanoTime();
        List<Waiting> over = new ArrayList<>();
        waiting.removeIf(w -> isOver(w, now) && over.add(w));
        over.forEach(w -> w.done().accept(true));
    }

    private boolean isOver(Waiting w, long nowNs) {
        return nowNs - w.untilNs() >= 0 || peers.stream().allMatch(p -> p.follows() >= w.version());
    }

    /** Takes this process's signs away; what is set stays. */
    void close() {
        if (folder == null) {
            return;
        }
        looking.cancel(false);
        try {
            folder.close();
        } catch (IOException bad) {
            log.line("handover: " + bad);
        }
    }
}
