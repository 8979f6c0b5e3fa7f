package passhatch.proxy;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * A listening socket whose address another process may also listen on. It accepts no more connections than
 * there are places for, and tells how long one may have waited in the accept queue. Closing the socket resets
 * the connections in its accept queue, so {@link #drainAndClose} accepts them and closes it in one step.
 */
final class SharedListener extends NioServerSocketChannel {

    /** Number of failed accept calls after which draining the accept queue is given up. */
    private static final int MAX_ACCEPT_FAILURES = 1_000;
    /** Connections accepted when draining even if there are no places for them. */
    private static final int MIN_DRAINED_CONNECTIONS = 16;
    private static final long QUEUE_CHECK_DELAY_MS = 1;
    private static final AttributeKey<Long> QUEUE_TIME_US =
            AttributeKey.valueOf(SharedListener.class, "queueTimeUs");

    private final Clock clock;
    private final IntSupplier freePlaces;
    private final Consumer<IOException> onAcceptFailure;
    /** Since when connections may have been waiting in the accept queue; 0 if it was found empty. */
    private long queuedSinceUs;
    private boolean queueCheckScheduled;

    /**
     * Creates a socket that does not listen yet.
     *
     * @param freePlaces how many connections may be accepted now
     * @param onAcceptFailure receives the failures of accept calls, which are tried again soon
     */
    SharedListener(Clock clock, IntSupplier freePlaces, Consumer<IOException> onAcceptFailure) {
        this.clock = clock;
        this.freePlaces = freePlaces;
        this.onAcceptFailure = onAcceptFailure;
    }

    /** The longest time that an accepted connection can have waited in the accept queue, in microseconds. */
    static long queueTimeUs(Channel accepted) {
        Long queueTimeUs = accepted.attr(QUEUE_TIME_US).get();
        return queueTimeUs == null ? 0 : queueTimeUs;
    }

    /** Pauses accepting, or continues it. While it is paused connections wait in the accept queue. */
    void setAccepting(boolean accepting) {
        if (!accepting) {
            noteQueued();
        }
        config().setAutoRead(accepting);
    }

    /** How long connections may have been waiting in the accept queue, in microseconds. */
    long queueTimeUs() {
        return queuedSinceUs == 0 ? 0 : clock.nowUs() - queuedSinceUs;
    }

    private void noteQueued() {
        if (queuedSinceUs == 0) {
            queuedSinceUs = clock.nowUs();
        }
    }

    /**
     * Accepts the connections in the accept queue and closes them at once, without reading from them.
     *
     * @param most how many at most
     * @return how many were closed
     * @throws IOException if accepting or closing fails; the remaining ones stay in the queue
     */
    int closeQueued(int most) throws IOException {
        for (int closed = 0; closed < most; closed++) {
            SocketChannel queued = javaChannel().accept();
            if (queued == null) {
                queuedSinceUs = 0;
                return closed;
            }
            queued.close();
        }
        return most;
    }

    /**
     * Accepts a connection if there is a place for it. After a failure the queue is looked into again soon;
     * an exception would make Netty accept nothing for a second.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (accepted.size() >= freePlaces.getAsInt()) {
            noteQueued();
            return 0;
        }
        try {
            return acceptNext(accepted);
        } catch (IOException e) {
            onAcceptFailure.accept(e);
            return 0;
        }
    }

    /** Accepts a connection unless the queue is empty; more may wait until it has been found empty. */
    private int acceptNext(List<Object> accepted) throws Exception {
        long queueTimeUs = queueTimeUs();
        noteQueued();
        int count = super.doReadMessages(accepted);
        if (count == 0) {
            queuedSinceUs = 0;
        } else {
            ((Channel) accepted.get(accepted.size() - 1)).attr(QUEUE_TIME_US).set(queueTimeUs);
        }
        return count;
    }

    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        scheduleQueueCheck();
    }

    /**
     * Looks into the accept queue soon: the selector does not tell that it is empty. Descriptors of closed
     * connections become free only when the selector runs, so the check must not come before it.
     */
    private void scheduleQueueCheck() {
        if (queuedSinceUs > 0 && !queueCheckScheduled) {
            queueCheckScheduled = true;
            eventLoop().schedule(this::checkQueue, QUEUE_CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkQueue() {
        queueCheckScheduled = false;
        if (queuedSinceUs > 0 && isActive() && isRegistered() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    /** Stops listening after accepting every connection that clients have already made. */
    void drainAndClose() {
        config().setAutoRead(false);
        // A listener that is closed while it is registered with the selector continues to queue connections
        // until the next select call.
        deregister().addListener(done -> drainOnceDeregistered());
    }

    private void drainOnceDeregistered() {
        if (!isOpen()) {
            return;
        }
        if (javaChannel().isRegistered()) {
            eventLoop().schedule(this::drainOnceDeregistered, 1, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            acceptAll(accepted);
            javaChannel().close();
        } catch (Exception e) {
            pipeline().fireExceptionCaught(e);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        close();
    }

    /**
     * Accepts connections until the queue is empty or there are no places for more, which are then reset. A
     * failed accept call does not mean that the queue is empty, so accepting continues after a failure.
     */
    private void acceptAll(List<Object> accepted) throws Exception {
        int most = Math.max(MIN_DRAINED_CONNECTIONS, freePlaces.getAsInt());
        int failures = 0;
        int acceptedNow = 1;
        while (acceptedNow > 0 && accepted.size() < most) {
            try {
                acceptedNow = acceptNext(accepted);
            } catch (IOException e) {
                failures++;
                if (failures >= MAX_ACCEPT_FAILURES) {
                    throw e;
                }
            }
        }
    }
}
