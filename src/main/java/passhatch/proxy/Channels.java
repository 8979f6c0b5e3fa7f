package passhatch.proxy;

import io.netty.channel.Channel;

/** Utility methods for Netty channels. */
final class Channels {

    private Channels() { }

    /**
     * Closes a channel that is open and ignores others. If no socket could be created, Netty returns a
     * channel that was never open and that throws when it is closed.
     */
    static void close(Channel channel) {
        if (channel.isOpen()) {
            channel.close();
        }
    }
}
