package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the state that a client connection reports, on a channel whose writes the test can block. */
final class ClientConnectionTest {

    private final EventLoop loop = new DefaultEventLoop();

    @AfterEach
    void tearDown() {
        loop.shutdownGracefully();
    }

    /** A channel that accepts no bytes while it is blocked. */
    private static final class BlockableChannel extends EmbeddedChannel {
        private boolean blocked;

        @Override
        protected void doWrite(ChannelOutboundBuffer outboundBuffer) throws Exception {
            if (!blocked) {
                super.doWrite(outboundBuffer);
            }
        }
    }

    /** Draining, eviction and shutdown close idle connections, which would cut off an unsent response. */
    @Test
    void isNotIdleWhileResponseBytesAreUnsent() {
        BlockableChannel channel = new BlockableChannel();
        ClientServer server = new ClientServer(loop, new Clock(), new EventLog(System.err), null, null, 10,
                ProxyMemory.ofHeap(1 << 20), new DrainState(loop));
        ClientConnection connection = new ClientConnection(server, channel, new Clock(), 0);
        assertTrue(connection.isIdle());
        channel.blocked = true;
        channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[100]));
        assertTrue(connection.hasUnsentResponse());
        assertFalse(connection.isIdle());
        channel.blocked = false;
        channel.flush();
        assertFalse(connection.hasUnsentResponse());
        assertTrue(connection.isIdle());
        channel.finishAndReleaseAll();
    }

    /** A request whose handling throws, here as nothing parses it, is answered; so are those around it. */
    @Test
    void answersARequestWhoseHandlingThrows() {
        EmbeddedChannel channel = new EmbeddedChannel();
        ClientServer server = new ClientServer(loop, new Clock(), new EventLog(System.err), null, null, 10,
                ProxyMemory.ofHeap(1 << 20), new DrainState(loop));
        channel.pipeline().addLast(new ClientConnection(server, channel, new Clock(), 0).handlers());
        channel.writeInbound(Unpooled.copiedBuffer("GET /board HTTP/1.1\r\n\r\nGET /board HTTP/1.1\r\n\r\n",
                StandardCharsets.US_ASCII));
        channel.runPendingTasks();
        StringBuilder responses = new StringBuilder();
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            responses.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }
        assertEquals(2, responses.toString().split("HTTP/1.1 502", -1).length - 1, responses.toString());
        channel.finishAndReleaseAll();
    }
}
