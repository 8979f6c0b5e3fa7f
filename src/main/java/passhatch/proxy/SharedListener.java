package passhatch.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listener, whose address another process may listen on too. What stands in its accept queue when it is
 * closed would be reset, so it is emptied and closed in one step.
 */
final class SharedListener extends NioServerSocketChannel {

    /** Calls to accept that may fail while the queue is emptied. */
    private static final int MAX_ACCEPT_FAILURES = 1_000;

    /** Stops listening, after taking all that has connected here. */
    void drainAndClose() {
        config().setAutoRead(false);
        // While it is registered with the selector, a closed listener goes on queueing connections until the
        // next select.
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

    /** A call to accept that fails tells nothing of the connections that wait: what is left is reset. */
    private void acceptAll(List<Object> accepted) throws Exception {
        int failures = 0;
        int acceptedNow = 1;
        while (acceptedNow > 0) {
            try {
                acceptedNow = doReadMessages(accepted);
            } catch (IOException e) {
                failures++;
                if (failures >= MAX_ACCEPT_FAILURES) {
                    throw e;
                }
            }
        }
    }
}
