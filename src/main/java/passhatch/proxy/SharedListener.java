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
    private static final int MOST_FAILURES = 1_000;

    /** Stops listening, after taking all that has connected here. */
    void emptyAndClose() {
        config().setAutoRead(false);
        // While it is registered with the selector, a closed listener goes on queueing connections until the
        // next select.
        deregister().addListener(done -> emptyOnceLetGo());
    }

    private void emptyOnceLetGo() {
        if (!isOpen()) {
            return;
        }
        if (javaChannel().isRegistered()) {
            eventLoop().schedule(this::emptyOnceLetGo, 1, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> taken = new ArrayList<>();
        try {
            takeAll(taken);
            javaChannel().close();
        } catch (Exception bad) {
            pipeline().fireExceptionCaught(bad);
        }
        taken.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        close();
    }

    /** A call to accept that fails tells nothing of the connections that wait: what is left is reset. */
    private void takeAll(List<Object> taken) throws Exception {
        int failures = 0;
        int more = 1;
        while (more > 0) {
            try {
                more = doReadMessages(taken);
            } catch (IOException failed) {
                failures++;
                if (failures >= MOST_FAILURES) {
                    throw failed;
                }
            }
        }
    }
}
