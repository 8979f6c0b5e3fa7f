package passhatch.lab.latency;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Backends on loopback that answer every request at once with the same 128-byte body, all in one event loop.
 */
public final class StubBackends implements Closeable {

    private static final int BODY_BYTES = 128;
    private static final ByteBuf BODY = Unpooled.unreleasableBuffer(
            Unpooled.wrappedBuffer("x".repeat(BODY_BYTES).getBytes()).asReadOnly());

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            new DefaultThreadFactory("backends", true), NioIoHandler.newFactory());
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    /** Responses that are delayed while the backends are stalled; used only in the event loop. */
    private final List<Runnable> delayedResponses = new ArrayList<>();
    /** Whether responses are delayed; used only in the event loop. */
    private boolean stalled;

    /** Starts {@code count} backends on free ports. */
    StubBackends(int count) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new ResponseHandler());
                    }
                });
        for (int i = 0; i < count; i++) {
            addresses.add((InetSocketAddress) bootstrap.bind(InetAddress.getLoopbackAddress(), 0)
                    .syncUninterruptibly().channel().localAddress());
        }
    }

    /**
     * Starts as many backends as the first argument says, prints their ports on one line, and runs until the
     * end of standard input.
     */
    public static void main(String[] args) throws IOException {
        try (StubBackends backends = new StubBackends(Integer.parseInt(args[0]))) {
            System.out.println(String.join(" ",
                    backends.addresses.stream().map(a -> Integer.toString(a.getPort())).toList()));
            while (System.in.read() >= 0) {
                // Input is ignored; only its end matters.
            }
        }
    }

    List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    /** Delays all responses from now on, or stops doing so and sends the delayed ones. */
    void stall(boolean delayResponses) {
        group.next().submit(() -> {
            stalled = delayResponses;
            if (!delayResponses) {
                delayedResponses.forEach(Runnable::run);
                delayedResponses.clear();
            }
        }).syncUninterruptibly();
    }

    /** Returns the number of responses that are delayed now. */
    int delayedResponseCount() {
        return group.next().submit(delayedResponses::size).syncUninterruptibly().getNow();
    }

    /** Answers each complete request, or delays the response while the backends are stalled. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof LastHttpContent && stalled) {
                delayedResponses.add(() -> respond(ctx));
            } else if (message instanceof LastHttpContent) {
                respond(ctx);
            }
        }

        private void respond(ChannelHandlerContext ctx) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK, BODY.duplicate());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
