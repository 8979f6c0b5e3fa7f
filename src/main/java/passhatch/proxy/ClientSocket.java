package passhatch.proxy;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.Supplier;

/** The socket of a client connection, which is read while there is room for its input. */
final class ClientSocket implements ClientPresence.Socket {

    /** Reads of 4 to 32 KiB while reading is paused, before other connections get their turn. */
    private static final int MAX_PAUSED_READS = 48;
    /** Rounds of sixteen such reads while it is not. */
    private static final int MAX_WATCHED_ROUNDS = 4;

    private final Channel channel;
    private final Supplier<LookRoom> room;

    /**
     * Creates the socket of an open connection.
     *
     * @param room whether input may be read now, also while reading is paused
     */
    ClientSocket(Channel channel, Supplier<LookRoom> room) {
        this.channel = channel;
        this.room = room;
    }

    /** Whether there is room for what a look at the socket reads. */
    enum LookRoom {
        /** There is. */
        FREE,
        /** There is none. */
        NONE,
        /** There will be in a moment, when the look at another connection has ended. */
        LATER
    }

    @Override
    public boolean isWatched() {
        return channel.config().isAutoRead();
    }

    @Override
    public ClientPresence.LookResult read() {
        int maxRounds = isWatched() ? MAX_WATCHED_ROUNDS : MAX_PAUSED_READS;
        for (int round = 0; round < maxRounds && channel.isActive(); round++) {
            LookRoom free = room.get();
            if (free == LookRoom.LATER) {
                return ClientPresence.LookResult.MORE_LATER;
            }
            if (free == LookRoom.NONE
                    || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafeChannel)) {
                return ClientPresence.LookResult.MORE;
            }
            unsafeChannel.read();
            if (BudgetedReceiveAllocator.hasFoundNothing(channel)) {
                return ClientPresence.LookResult.EMPTIED;
            }
        }
        return isWatched() ? ClientPresence.LookResult.MORE : ClientPresence.LookResult.MORE_LATER;
    }
}
