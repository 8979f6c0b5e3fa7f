package passhatch.proxy;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/** The socket of a client connection, which is read while there is room for its input. */
final class ClientSocket implements ClientPresence.Socket {

    /** Reads of up to 32 KiB while reading is paused, before other connections get their turn. */
    private static final int MAX_PAUSED_READS = 48;
    /** Rounds of sixteen such reads while it is not. */
    private static final int MAX_WATCHED_ROUNDS = 4;

    private final Channel channel;
    private final BooleanSupplier hasRoom;

    /**
     * Creates the socket of an open connection.
     *
     * @param hasRoom whether input may be read now, also while reading is paused
     */
    ClientSocket(Channel channel, BooleanSupplier hasRoom) {
        this.channel = channel;
        this.hasRoom = hasRoom;
    }

    @Override
    public boolean isWatched() {
        return channel.config().isAutoRead();
    }

    @Override
    public boolean read() {
        int maxRounds = isWatched() ? MAX_WATCHED_ROUNDS : MAX_PAUSED_READS;
        boolean mayBeMore = true;
        for (int round = 0; mayBeMore && round < maxRounds; round++) {
            if (!channel.isActive() || !hasRoom.getAsBoolean()
                    || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafeChannel)) {
                return false;
            }
            unsafeChannel.read();
            mayBeMore = !BudgetedReceiveAllocator.hasFoundNothing(channel);
        }
        return !mayBeMore;
    }
}
