package passhatch.proxy;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/** The socket of a client connection, which is read while there is room for its input. */
final class ClientSocket implements ClientPresence.Socket {

    /** Reads in a row, of up to 32 KiB each, before other connections get their turn. */
    private static final int MAX_READS = 48;

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
        boolean mayBeMore = true;
        for (int reads = 0; mayBeMore && reads < MAX_READS; reads++) {
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
