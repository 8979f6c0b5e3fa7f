package passhatch.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.proxy.EventLog.Kind;

/**
 * The connections to the backends. A connection carries one request at a time and is kept for the next.
 * Nothing is ever sent a second time from here, not on a stale connection either: whether to repeat is the
 * module's to decide.
 */
final class BackendPool {

    /** A backend that takes nothing of a body, or gives nothing of a long answer, for so long hangs. */
    private static final long MAX_STALL_US = 4_000_000;
    /** An answer of unknown length is passed on as it comes once it takes longer than this. */
    private static final long MAX_BUFFERING_MS = 150;
    /** An answer of unknown length that is slower than this by its deadline will not come to its end. */
    private static final long MIN_BYTES_PER_SECOND = 16_000;
    /** A pace is known after so long. */
    private static final long MIN_OBSERVATION_US = 400_000;
    /** Bytes on their way to a peer beyond which no more are read for it. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(1 << 14, 1 << 15);
    static final int MAX_READ_BYTES = 1 << 15;
    /** Idle connections kept to one backend: more only fill its table. */
    private static final int MAX_IDLE_PER_BACKEND = 8;
    /** Part of the backends' idle time after which a connection is closed, before they may close it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /**
     * How a call ended.
     *
     * @param body of a 200 answer, else null
     */
    record Result(Outcome outcome, byte[] body, LoadReport report) {
        static Result withoutBody(Outcome outcome) {
            return new Result(outcome, null, null);
        }
    }

    /**
     * A backend: connections stand for its id as well as its address, as another may take the address over.
     */
    record Target(String id, InetSocketAddress address) {
        // Written out: a record's own are put together at run time, just as the first list has come in.
        @Override
        public boolean equals(Object other) {
            return other instanceof Target target && id.equals(target.id) && address.equals(target.address);
        }

        @Override
        public int hashCode() {
            return id.hashCode();
        }
    }

    /** Hears how a call ended, once. */
    interface Listener {
        /**
         * Its answer is too long to be held, and begins.
         *
         * @param lengthBytes of the answer, or -1
         * @param resumeReading called when more may be given after the sink was not writable
         * @return where it goes; null where it is not wanted
         */
        default ResponseSink openSink(long lengthBytes, Runnable resumeReading) {
            return null;
        }

        void done(Result result);
    }

    /** Where a long answer goes as it comes. */
    interface ResponseSink {
        /** Takes bytes, and the duty to release them. */
        void write(ByteBuf bytes);

        boolean isWritable();

        /** The answer is whole. */
        void end();

        /** It will not come to its end. */
        void fail();
    }

    /** A call that may be given up. */
    interface Handle {
        /** Closes its connection; it ends as cancelled unless it has ended already. */
        void cancel();

        /** Gives it so long from now. */
        void setTimeout(long timeoutUs);

        /** Breaks an answer off that is passed on and will not come to its end soon. */
        void abortIfStalled();
    }

    /**
     * What to send.
     *
     * @param messageFactory makes the message, when it can be written: whole, or the head for the body
     * @param body what follows that head; null where the message is whole
     * @param stillWanted asked just before it is written: false where it must not be sent any more
     * @param onWritten called once its last byte is written
     * @param timeoutUs time that it has; {@link #NO_TIMEOUT} where that is not known yet
     * @param timeoutOutcome how it ends when its time is up after it was written
     */
    record OutgoingRequest(Supplier<HttpRequest> messageFactory, RequestBody body,
            BooleanSupplier stillWanted, Runnable onWritten, long timeoutUs, Outcome timeoutOutcome) {

        /** Something that is whole. */
        OutgoingRequest(Supplier<HttpRequest> messageFactory, BooleanSupplier stillWanted, Runnable onWritten,
                long timeoutUs, Outcome timeoutOutcome) {
            this(messageFactory, null, stillWanted, onWritten, timeoutUs, timeoutOutcome);
        }
    }

    static final long NO_TIMEOUT = Long.MAX_VALUE;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final long maxIdleUs;
    private int maxOpen;
    private final Bootstrap bootstrap;
    private final Map<Target, Deque<Connection>> idleConnections = new HashMap<>();
    private final Set<Connection> openConnections = new HashSet<>();

    /**
     * A pool without connections.
     *
     * @param keepaliveUs after which backends close idle connections; 0 where none may be kept
     * @param maxOpen connections at a time, so that descriptors are left for the callers
     */
    BackendPool(EventLoop loop, Clock clock, EventLog log, long connectTimeoutUs, long keepaliveUs,
            int maxOpen) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.maxIdleUs = (long) (keepaliveUs * IDLE_TIMEOUT_FRACTION);
        this.maxOpen = maxOpen;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(connectTimeoutUs)));
    }

    /** Holds to another number of connections from now on. */
    void setMaxOpen(int newMaxOpen) {
        maxOpen = newMaxOpen;
        for (int excess = openConnections.size() - newMaxOpen; excess > 0; excess--) {
            closeLongestIdle();
        }
    }

    /** Closes connections that backends might soon close themselves; to be called now and then. */
    void closeStale() {
        long idleSinceLimitUs = clock.nowUs() - maxIdleUs;
        for (Deque<Connection> idleToTarget : idleConnections.values()) {
            while (!idleToTarget.isEmpty() && idleToTarget.peekLast().idleSinceUs <= idleSinceLimitUs) {
                idleToTarget.pollLast().channel.close();
            }
        }
        idleConnections.values().removeIf(Deque::isEmpty);
        List.copyOf(openConnections).forEach(connection ->
                connection.closeIfStalled(clock.nowUs() - MAX_STALL_US));
    }

    /** Closes the idle connections to a backend. */
    void closeIdle(Target target) {
        Deque<Connection> idleToTarget = idleConnections.remove(target);
        if (idleToTarget != null) {
            idleToTarget.forEach(connection -> connection.channel.close());
        }
    }

    /** Sends a message to a backend, on a kept connection if there is one. */
    Handle send(Target target, OutgoingRequest request, Listener listener) {
        PendingRequest pending = new PendingRequest(request, listener);
        Connection reused = takeIdle(target);
        if (reused == null && openConnections.size() >= maxOpen) {
            closeLongestIdle();
        }
        if (reused == null && openConnections.size() >= maxOpen) {
            log.line(Kind.BACKEND, "no connection left for " + target.id() + ": " + openConnections.size()
                    + " are open");
            loop.execute(() -> pending.complete(Result.withoutBody(Outcome.NOT_SENT)));
            return pending;
        }
        if (request.timeoutUs() != NO_TIMEOUT) {
            pending.setTimeout(request.timeoutUs());
        }
        if (reused != null) {
            reused.pending = pending;
            pending.connection = reused;
            reused.write(pending);
        } else {
            connect(target, pending);
        }
        return pending;
    }

    /** Frees a place for a connection that is needed now. */
    private void closeLongestIdle() {
        Connection longestIdle = null;
        for (Deque<Connection> idleToTarget : idleConnections.values()) {
            Connection candidate = idleToTarget.peekLast();
            if (candidate != null
                    && (longestIdle == null || candidate.idleSinceUs < longestIdle.idleSinceUs)) {
                longestIdle = candidate;
            }
        }
        if (longestIdle != null) {
            idleConnections.get(longestIdle.target).remove(longestIdle);
            longestIdle.channel.close();
        }
    }

    private Connection takeIdle(Target target) {
        Deque<Connection> idleToTarget = idleConnections.get(target);
        while (idleToTarget != null && !idleToTarget.isEmpty()) {
            Connection connection = idleToTarget.pollFirst();
            if (connection.idleSinceUs > clock.nowUs() - maxIdleUs && connection.isUsable()) {
                return connection;
            }
            connection.channel.close();
        }
        return null;
    }

    private void connect(Target target, PendingRequest pending) {
        Connection connection = new Connection(target);
        connection.pending = pending;
        pending.connection = connection;
        openConnections.add(connection);
        ChannelFuture connecting = bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(connection.handlers());
            }
        }).connect(target.address());
        connection.channel = connecting.channel();
        // Runs in a later step of the loop even where the connection fails at once.
        connecting.addListener(connected -> loop.execute(() -> {
            if (connected.isSuccess()) {
                connection.write(pending);
            } else {
                // Where no socket could be made there is a channel that never closes.
                openConnections.remove(connection);
                connection.onConnectionLost();
            }
        }));
        connection.channel.closeFuture().addListener(closed -> openConnections.remove(connection));
    }

    /** One call, from its start to its only result. */
    private final class PendingRequest implements Handle {
        final OutgoingRequest request;
        private final Listener listener;
        Connection connection;
        Future<?> timeoutTask;
        /** All of the message has been handed to the network: from now on it may run. */
        boolean fullyWritten;
        /** Its writing has begun: only now can there be an answer. */
        boolean writeStarted;
        boolean ended;
        /** The writing of its body, and where its long answer goes; null where there is none. */
        Upload upload;
        ResponseSink sink;

        PendingRequest(OutgoingRequest request, Listener listener) {
            this.request = request;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            giveUp(Outcome.CANCELLED);
        }

        @Override
        public void setTimeout(long timeoutUs) {
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
            if (!ended && sink == null) {
                timeoutTask = loop.schedule(this::onTimeout, Math.max(0, timeoutUs), TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void abortIfStalled() {
            if (sink != null && connection.isShortOrStalled()) {
                giveUp(request.timeoutOutcome());
            }
        }

        private void onTimeout() {
            if (sink != null && connection.streamedBytes > ResponseReader.MAX_BUFFERED_BYTES) {
                // It is long, and what has begun to be passed on goes on for as long as it moves.
                return;
            }
            if (sink != null && connection.isNewOrFastEnough()) {
                timeoutTask = loop.schedule(this::onTimeout, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS);
                return;
            }
            // What was never written whole cannot run: the connection did not come up in time.
            giveUp(fullyWritten ? request.timeoutOutcome() : Outcome.CONNECT_FAILED);
        }

        void giveUp(Outcome outcome) {
            if (!ended) {
                if (connection != null) {
                    connection.pending = null;
                    Channels.close(connection.channel);
                }
                complete(Result.withoutBody(outcome));
            }
        }

        void complete(Result result) {
            if (!ended) {
                ended = true;
                if (timeoutTask != null) {
                    timeoutTask.cancel(false);
                }
                if (upload != null) {
                    request.body().detach(upload);
                }
                listener.done(result);
            }
        }
    }

    /** The writing of a body as it comes in. */
    private final class Upload implements RequestBody.Receiver {
        private final PendingRequest pending;
        private final Channel channel;

        Upload(PendingRequest pending, Channel channel) {
            this.pending = pending;
            this.channel = channel;
        }

        @Override
        public void write(ByteBuf bytes) {
            pending.connection.lastProgressUs = clock.nowUs();
            channel.writeAndFlush(new DefaultHttpContent(bytes));
        }

        @Override
        public void end() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(pending.connection.writeListener(pending));
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }
    }

    /** A connection, and the call that it carries now. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Target target;
        private final ResponseDecoder decoder = new ResponseDecoder();
        private ResponseReader reader = new ResponseReader();
        /** The result of the call, until the loop has read all that came with the answer. */
        private Result pendingResult;
        /** More has come than the answer. */
        private boolean hasSurplusBytes;
        /** It broke, and did not end: what came last is not whole. */
        private boolean aborted;
        Channel channel;
        PendingRequest pending;
        long idleSinceUs;
        /** When bytes of a long body or answer last moved. */
        long lastProgressUs;
        /** Bytes of a long answer passed on, and since when they are. */
        private long streamedBytes;
        private long streamingSinceUs;

        Connection(Target target) {
            this.target = target;
        }

        ChannelHandler[] handlers() {
            return new ChannelHandler[] {new UnsolicitedBytesGuard(), decoder, new HttpRequestEncoder(),
                    this};
        }

        /**
         * Whether it can carry a call. Its end, or a second answer to the call before, may have come in this
         * turn of the loop and lie unread: so what there is gets read first.
         */
        boolean isUsable() {
            if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
            return channel.isActive();
        }

        /** Writes the message, unless the call has been given up or must not go out any more. */
        void write(PendingRequest toWrite) {
            if (toWrite.ended) {
                channel.close();
            } else if (!channel.isActive()) {
                onConnectionLost();
            } else if (!toWrite.request.stillWanted().getAsBoolean()) {
                pending = null;
                returnToPool();
                toWrite.complete(Result.withoutBody(Outcome.NOT_SENT));
            } else {
                toWrite.writeStarted = true;
                HttpRequest message = toWrite.request.messageFactory().get();
                if (message instanceof FullHttpRequest) {
                    channel.writeAndFlush(message).addListener(writeListener(toWrite));
                } else {
                    channel.write(message);
                    toWrite.upload = new Upload(toWrite, channel);
                    toWrite.request.body().attach(toWrite.upload);
                }
            }
        }

        /** Hears that the last byte of a call was written. */
        private ChannelFutureListener writeListener(PendingRequest written) {
            return write -> {
                if (!write.isSuccess()) {
                    abort();
                } else if (!written.ended) {
                    written.fullyWritten = true;
                    written.request.onWritten().run();
                }
            };
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (pending != null && pending.upload != null && !pending.fullyWritten && channel.isWritable()) {
                lastProgressUs = clock.nowUs();
                pending.request.body().resume();
            }
        }

        /** Guards against a backend that hangs in the middle, where no time-out runs. */
        void closeIfStalled(long progressLimitUs) {
            if (pending == null || lastProgressUs > progressLimitUs) {
                return;
            }
            if (pending.sink != null) {
                if (channel.config().isAutoRead()) {
                    log.line(Kind.BACKEND, "a long answer from " + target.id() + " does not go on");
                    abort();
                }
            } else if (pending.upload != null && !pending.fullyWritten && !channel.isWritable()) {
                log.line(Kind.BACKEND, "a body to " + target.id() + " is not taken");
                pending.giveUp(Outcome.CONNECT_FAILED);
            }
        }

        /** Closes it in the middle: what is in of an answer that ends with its connection is not whole. */
        private void abort() {
            aborted = true;
            channel.close();
        }

        /** The connection is gone: before the last byte was written the request cannot have run. */
        void onConnectionLost() {
            if (pendingResult != null) {
                return;
            }
            PendingRequest lostRequest = pending;
            pending = null;
            if (lostRequest != null) {
                boolean mayHaveRun = lostRequest.fullyWritten || lostRequest.sink != null;
                lostRequest.complete(Result.withoutBody(mayHaveRun ? Outcome.RESET : Outcome.CONNECT_FAILED));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) throws IOException {
            if (pendingResult != null) {
                hasSurplusBytes = true;
                return;
            }
            if (pending == null || aborted) {
                return;
            }
            if (pending.sink != null) {
                streamPart(part);
            } else {
                boolean bodyHadNotBegun = !reader.mayExceedBuffer();
                pendingResult = reader.read(part);
                if (pendingResult == null && reader.exceedsBuffer()) {
                    startStreaming();
                } else if (pendingResult == null && bodyHadNotBegun && reader.mayExceedBuffer()) {
                    ResponseReader scheduledReader = reader;
                    loop.schedule(() -> {
                        if (reader == scheduledReader && pendingResult == null && pending != null
                                && pending.sink == null) {
                            startStreaming();
                        }
                    }, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS);
                }
            }
            if (pendingResult != null) {
                loop.execute(this::finishRequest);
            }
        }

        /** From now on the answer is its client's, as it comes. */
        private void startStreaming() {
            ResponseSink sink = pending.listener.openSink(reader.contentLength(), this::resumeReading);
            if (sink == null) {
                pending.giveUp(Outcome.CANCELLED);
                return;
            }
            pending.sink = sink;
            byte[] buffered = reader.takeBufferedBody();
            streamedBytes = buffered.length;
            streamingSinceUs = clock.nowUs();
            // One that may turn out short is owed by its deadline, as all short ones are.
            if (pending.timeoutTask != null && reader.contentLength() > ResponseReader.MAX_BUFFERED_BYTES) {
                pending.timeoutTask.cancel(false);
            }
            writeToSink(Unpooled.wrappedBuffer(buffered));
        }

        /** Whether its long answer has turned out short so far, or its backend gives no more of it. */
        private boolean isShortOrStalled() {
            return Math.max(streamedBytes, reader.contentLength()) <= ResponseReader.MAX_BUFFERED_BYTES
                    || channel.config().isAutoRead() && clock.nowUs() - lastProgressUs > MIN_OBSERVATION_US;
        }

        /** Whether an answer of unknown length comes at the pace of a long one, or has only just begun. */
        private boolean isNewOrFastEnough() {
            long sinceUs = clock.nowUs() - streamingSinceUs;
            return sinceUs < MIN_OBSERVATION_US
                    || streamedBytes * 1_000_000 / sinceUs >= MIN_BYTES_PER_SECOND;
        }

        private void streamPart(HttpObject part) {
            if (part.decoderResult().isFailure()) {
                abort();
                return;
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                streamedBytes += content.content().readableBytes();
                if (streamedBytes > ResponseReader.MAX_BODY_BYTES) {
                    log.line(Kind.BACKEND, "an answer from " + target.id() + " does not come to an end");
                    abort();
                    return;
                }
                writeToSink(content.content().retain());
            }
            if (part instanceof LastHttpContent && pending != null) {
                pending.sink.end();
                pendingResult = Result.withoutBody(Outcome.OK);
            }
        }

        private void writeToSink(ByteBuf bytes) {
            lastProgressUs = clock.nowUs();
            pending.sink.write(bytes);
            if (pending != null && !pending.sink.isWritable()) {
                channel.config().setAutoRead(false);
            }
        }

        private void resumeReading() {
            lastProgressUs = clock.nowUs();
            channel.config().setAutoRead(true);
        }

        /**
         * Ends the call, in a step of the loop after the one that read the answer. Guards against the answer
         * of another request: what stands behind an answer must have come in before the connection carries
         * the next call, or it would pass for the answer to that one.
         */
        private void finishRequest() {
            PendingRequest finished = pending;
            Result result = pendingResult;
            pending = null;
            pendingResult = null;
            if (finished == null) {
                return;
            }
            if (result.outcome() == Outcome.OK && !finished.fullyWritten && finished.sink == null) {
                // No backend starts on a request before it has all: nobody knows whose answer this is.
                result = Result.withoutBody(Outcome.ERROR);
            }
            boolean reusable = !hasSurplusBytes && !decoder.hasUndecodedBytes() && finished.fullyWritten
                    && reader.isKeepAlive();
            reader = new ResponseReader();
            if (reusable && channel.isActive()) {
                channel.config().setAutoRead(true);
                returnToPool();
            } else {
                channel.close();
            }
            finished.complete(result);
        }

        private void returnToPool() {
            idleSinceUs = clock.nowUs();
            Deque<Connection> idleToTarget = idleConnections
                    .computeIfAbsent(target, absent -> new ArrayDeque<>());
            idleToTarget.addFirst(this);
            if (idleToTarget.size() > MAX_IDLE_PER_BACKEND || maxIdleUs <= 0) {
                idleToTarget.pollLast().channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Deque<Connection> idleToTarget = idleConnections.get(target);
            if (idleToTarget != null) {
                idleToTarget.remove(this);
            }
            onConnectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            aborted = true;
            log.line(Kind.BACKEND, "connection to " + target.address() + ": " + cause);
            ctx.close();
        }

        /** Sees bytes before they are decoded: none may come where no answer is owed. */
        private final class UnsolicitedBytesGuard extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                if (pendingResult == null && pending != null && pending.writeStarted) {
                    ctx.fireChannelRead(bytes);
                    return;
                }
                ReferenceCountUtil.release(bytes);
                hasSurplusBytes = true;
                if (pendingResult == null) {
                    log.line(Kind.BACKEND, "bytes from " + target.address() + " that nothing asked for");
                    ctx.close();
                }
            }
        }
    }
}
