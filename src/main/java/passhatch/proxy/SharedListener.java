package passhatch.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listener whose address another process listens on too. What stands in its accept queue when it is closed
 * would be reset, so it is emptied and closed in one step.
 */
final class SharedListener extends NioServerSocketChannel {

    /** Stops listening, after taking all that has connected here. */
    void handOff() {
        config().setAutoRead(false);
        // While it is registered with the selector, a closed listener goes on queueing connections until the
        // next select.
        deregister().addListener(done -> emptyAndClose());
    }

    private void emptyAndClose() {
        if (javaChannel().isRegistered()) {
            eventLoop().schedule(this::emptyAndClose, 1, TimeUnit.MILLISECONDS);
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
