package passhatch.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket whose address another process may also listen on. Closing it resets the connections in
 * its accept queue, so it accepts all of these and closes the socket in one step.
 */
final class SharedListener extends NioServerSocketChannel {

    /** Number of failed accept calls after which draining the accept queue is given up. */
    private static final int MAX_ACCEPT_FAILURES = 1_000;

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
     * Accepts connections until the queue is empty. A failed accept call does not mean that it is empty, and
     * what stays in it is reset, so accepting continues after a failure.
     */
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
