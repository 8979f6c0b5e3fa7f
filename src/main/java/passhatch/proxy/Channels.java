package passhatch.proxy;

import io.netty.channel.Channel;

/** What is done alike with all channels. */
final class Channels {

    private Channels() { }

    /**
     * Closes a channel unless it is closed. Where no socket could be made, Netty gives a channel that was
     * never open and that throws when it is closed.
     */
    static void close(Channel channel) {
        if (channel.isOpen()) {
            channel.close();
        }
    }
}
