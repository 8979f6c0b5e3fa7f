package passhatch.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listener, whose address another process may listen on too. What stands in its accept queue when it is
 * closed would be reset, so it is emptied and closed in one step.
 */
final class SharedListener extends NioServerSocketChannel {

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
            int more = 1;
            while (more > 0) {
                more = doReadMessages(taken);
            }
            javaChannel().close();
        } catch (Exception bad) {
            pipeline().fireExceptionCaught(bad);
        }
        taken.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        close();
    }
}
