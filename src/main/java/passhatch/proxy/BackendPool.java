package passhatch.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.proxy.EventLog.Kind;

/**
 * Pool of HTTP/1.1 connections to the backends. A connection carries one request at a time and is then reused
 * for the next one. The pool never sends a request a second time, not even after a stale connection failed:
 * only the decision module decides on retries. Not thread-safe: used on the event loop only.
 */
final class BackendPool {

    /**
     * Time without progress, in microseconds, after which a backend counts as stalled: it reads nothing of a
     * request body, or sends nothing of a response that is streamed.
     */
    private static final long MAX_STALL_US = 4_000_000;
    /**
     * Time in milliseconds for which a response of unknown length is buffered. One that takes longer is
     * streamed to its client.
     */
    private static final long MAX_BUFFERING_MS = 150;
    /** Time without progress, in microseconds, after which a response counts as stalled at a shutdown. */
    private static final long MAX_STALL_AT_SHUTDOWN_US = 400_000;
    /**
     * Low and high limit, in bytes, of data that waits to be written to a peer. Above the high limit no more
     * is read for that peer until the data has fallen below the low limit.
     */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(1 << 14, 1 << 15);
    /**
     * The kernel's send buffer of a connection, in bytes. A full one accepts bytes again once a third of it
     * is free: a large one would make a peer that reads slowly but steadily seem to have stopped.
     */
    static final int SEND_BUFFER_BYTES = 1 << 17;
    /** Most bytes that one read from a socket takes. */
    static final int MAX_READ_BYTES = 1 << 15;

    /**
     * How a request to a backend ended.
     *
     * @param outcome what the response, or the failure, counts as
     * @param body body of a buffered 200 response; null for any other outcome and for a streamed response
     * @param report load that the backend reported; null if it reported none
     */
    record Result(Outcome outcome, byte[] body, LoadReport report) {
        /** A result with neither body nor load report. */
        static Result withoutBody(Outcome outcome) {
            return new Result(outcome, null, null);
        }
    }

    /**
     * A backend that connections lead to. Connections are kept apart by id as well as by address, because
     * another backend may take over an address.
     */
    record Target(String id, InetSocketAddress address) {
        // Written out because the equals and hashCode of a record are linked at run time at their first use,
        // which would delay the handling of the first list of backends.
        @Override
        public boolean equals(Object other) {
            return other instanceof Target target && id.equals(target.id) && address.equals(target.address);
        }

        @Override
        public int hashCode() {
            return id.hashCode();
        }
    }

    /** Is notified of the response and the end of one request. */
    interface Listener {
        /**
         * Called at most once, when a 200 response is streamed from now on because it is too long to be
         * buffered, or is of unknown length and slow. By default such a response is not wanted.
         *
         * @param lengthBytes length of the response; -1 if unknown
         * @param resumeReading to be run when the sink can take more after it was not writable
         * @return receiver of the response; null if the response is not wanted, which cancels the request
         */
        default ResponseSink openSink(long lengthBytes, Runnable resumeReading) {
            return null;
        }

        /** Called exactly once, when the request has ended. */
        void done(Result result);
    }

    /** Receives the body of a streamed response. */
    interface ResponseSink {
        /** Takes the next bytes. The sink becomes their owner and must release them. */
        void write(ByteBuf bytes);

        /** Whether more can be written now. If not, reading from the backend pauses. */
        boolean isWritable();

        /** Called when the response is complete. */
        void end();

        /** Called when the response cannot be completed. */
        void fail();
    }

    /** Controls a request that has been given to the pool. */
    interface Handle {
        /** Closes the connection and ends the request as cancelled. Does nothing if it has ended. */
        void cancel();

        /**
         * Replaces the time-out. Once the response is streamed, the old time-out is removed and none is set.
         *
         * @param timeoutUs time that is left from now on, in microseconds
         */
        void setTimeout(long timeoutUs);

        /**
         * Ends the request with its time-out outcome if its response is streamed and is not expected to
         * complete soon: it is still short enough to have been buffered, or the backend sends no more of it.
         */
        void abortIfStalled();
    }

    /**
     * A request to be sent.
     *
     * @param messageFactory creates the message at the time of writing: a complete request, or only the head
     *     if a body follows
     * @param body body that follows the head; null if the message is complete
     * @param stillWanted asked just before writing; false if the request must not be sent any more
     * @param onWritten called once the last byte has been handed to the network
     * @param timeoutUs time in microseconds from sending to the end of the response, connecting included;
     *     {@link #NO_TIMEOUT} if it is not known yet
     * @param timeoutOutcome outcome if the time is up after the request was written
     */
    record OutgoingRequest(Supplier<HttpRequest> messageFactory, RequestBody body,
            BooleanSupplier stillWanted, Runnable onWritten, long timeoutUs, Outcome timeoutOutcome) {

        /** A request whose message is complete. */
        OutgoingRequest(Supplier<HttpRequest> messageFactory, BooleanSupplier stillWanted, Runnable onWritten,
                long timeoutUs, Outcome timeoutOutcome) {
            this(messageFactory, null, stillWanted, onWritten, timeoutUs, timeoutOutcome);
        }
    }

    /** Time-out in microseconds of a request that has no time-out yet. */
    static final long NO_TIMEOUT = Long.MAX_VALUE;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final MemoryBudget transferBudget;
    private int maxOpen;
    private final Bootstrap bootstrap;
    private final IdleConnections<Connection> idleConnections;
    private final Set<Connection> openConnections = new HashSet<>();

    /**
     * Creates a pool without connections.
     *
     * @param connectTimeoutUs time for a connection to be established, in microseconds
     * @param keepaliveUs time in microseconds after which backends close idle connections; 0 if no connection
     *     may be kept
     * @param maxOpen most connections open at a time, so that file descriptors are left for the clients
     * @param transferBudget limits the bytes of responses, and of bodies on their way to backends, over all
     *     connections
     */
    BackendPool(EventLoop loop, Clock clock, EventLog log, long connectTimeoutUs, long keepaliveUs,
            int maxOpen, MemoryBudget transferBudget) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.idleConnections = new IdleConnections<>(clock, keepaliveUs);
        this.maxOpen = maxOpen;
        this.transferBudget = transferBudget;
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new BudgetedReceiveAllocator(
                        new AdaptiveRecvByteBufAllocator(64, 2048, MAX_READ_BYTES), transferBudget))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(connectTimeoutUs)));
    }

    /** Changes the limit of open connections and closes idle ones, longest idle first, that exceed it. */
    void setMaxOpen(int newMaxOpen) {
        maxOpen = newMaxOpen;
        for (int excess = openConnections.size() - newMaxOpen; excess > 0; excess--) {
            idleConnections.closeLongestIdle();
        }
    }

    /**
     * Closes idle connections that backends might soon close themselves, and connections on which a transfer
     * has stalled. To be called periodically.
     */
    void closeStale() {
        idleConnections.closeOld();
        FailureIsolation.forEach(log, "the check for a stalled backend connection", openConnections,
                connection -> connection.closeIfStalled(MAX_STALL_US), Connection::abort);
    }

    /** Closes all idle connections to a backend. */
    void closeIdle(Target target) {
        idleConnections.closeAll(target);
    }

    /**
     * Sends a request to a backend, on an idle connection if there is one. If the limit of open connections
     * is reached and no idle one can be closed, the request ends as {@link Outcome#NOT_SENT}.
     */
    Handle send(Target target, OutgoingRequest request, Listener listener) {
        PendingRequest pending = new PendingRequest(request, listener);
        Connection reused = idleConnections.take(target);
        if (reused == null && openConnections.size() >= maxOpen) {
            idleConnections.closeLongestIdle();
        }
        if (reused == null && openConnections.size() >= maxOpen) {
            log.line(Kind.BACKEND, "request to " + target.id()
                    + " was not sent: the connection limit is reached, " + openConnections.size()
                    + " are open");
            loop.execute(() -> pending.complete(Result.withoutBody(Outcome.NOT_SENT)));
            return pending;
        }
        if (request.timeoutUs() != NO_TIMEOUT) {
            pending.setTimeout(request.timeoutUs());
        }
        FailureIsolation.run(log, "sending to a backend", () -> {
            if (reused != null) {
                reused.pending = pending;
                pending.connection = reused;
                reused.write(pending);
            } else {
                connect(target, pending);
            }
        }, () -> loop.execute(pending::giveUpAfterError));
        return pending;
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
        // Deferred to a later task of the event loop, so that the request does not end within this method,
        // even if connecting fails at once.
        connecting.addListener(connected -> loop.execute(FailureIsolation.isolated(log,
                "the end of connecting to a backend", () -> {
                    if (connected.isSuccess()) {
                        connection.write(pending);
                    } else {
                        // If no socket could be created, the close future of the channel never completes.
                        openConnections.remove(connection);
                        connection.onConnectionLost();
                    }
                }, pending::giveUpAfterError)));
        connection.channel.closeFuture().addListener(closed -> openConnections.remove(connection));
    }

    /** A request from the time it is given to the pool until its single result. */
    private final class PendingRequest implements Handle {
        final OutgoingRequest request;
        private final Listener listener;
        /** The connection that carries it; null before there is one, and once it has ended. */
        Connection connection;
        Future<?> timeoutTask;
        /** The complete request has been handed to the network: from now on the backend may execute it. */
        boolean fullyWritten;
        /** Writing has started: bytes received before that cannot belong to its response. */
        boolean writeStarted;
        boolean ended;
        /** Writes the request body; null if the message is complete. */
        Upload upload;
        /** Receives the streamed response; null while the response is not streamed. */
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
                scheduleTimeout(Math.max(0, timeoutUs));
            }
        }

        private void scheduleTimeout(long delayUs) {
            timeoutTask = loop.schedule(FailureIsolation.isolated(log, "the time-out of an attempt",
                    this::onTimeout, this::giveUpAfterError), delayUs, TimeUnit.MICROSECONDS);
        }

        /** An ended request has no response that could stall; its connection may carry another one. */
        @Override
        public void abortIfStalled() {
            if (!ended && sink != null && connection.isShortOrStalled()) {
                giveUp(request.timeoutOutcome());
            }
        }

        private void onTimeout() {
            if (ended) {
                return;
            }
            if (sink != null && connection.progress.streamedBytes() > ResponseReader.MAX_BUFFERED_BYTES) {
                // Too long to have been buffered: it is streamed for as long as it makes progress.
                return;
            }
            if (sink == null && connection != null && connection.startIfKnownToBeLong()) {
                return;
            }
            if (sink != null && connection.progress.isStillGiving(connection.channel.config().isAutoRead())) {
                scheduleTimeout(TimeUnit.MILLISECONDS.toMicros(MAX_BUFFERING_MS));
                return;
            }
            // A request that was not completely written cannot have been executed, so the connection failed.
            giveUp(fullyWritten ? request.timeoutOutcome() : Outcome.CONNECT_FAILED);
        }

        /** Ends the request because handling it has thrown. Once it is being written, it may have run. */
        void giveUpAfterError() {
            giveUp(writeStarted ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        void giveUp(Outcome outcome) {
            if (!ended) {
                if (connection != null) {
                    connection.pending = null;
                    connection.close();
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
                connection = null;
                FailureIsolation.run(log, "the end of a request to a backend", () -> listener.done(result));
            }
        }
    }

    /** Writes a request body to a backend while it is received from the client. */
    private final class Upload implements RequestBody.Receiver {
        private final PendingRequest pending;
        private final Connection connection;
        private final Channel channel;
        private final BudgetedWriter writer;

        Upload(PendingRequest pending, Connection connection) {
            this.pending = pending;
            this.connection = connection;
            this.channel = connection.channel;
            this.writer = new BudgetedWriter(channel, transferBudget, this::onAllWritten);
        }

        @Override
        public void write(ByteBuf bytes) {
            connection.progress.advanced();
            writer.writeAndFlush(bytes);
        }

        private void onAllWritten() {
            if (!pending.ended && !pending.fullyWritten) {
                connection.progress.advanced();
                pending.request.body().resume();
            }
        }

        @Override
        public void end() {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(connection.writeListener(pending));
        }

        @Override
        public boolean isWritable() {
            return writer.isWritable();
        }
    }

    /** A connection and the request that it carries, if any. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements IdleConnections.Entry {
        private final Target target;
        private final ResponseDecoder decoder = new ResponseDecoder();
        private ResponseReader reader = new ResponseReader(transferBudget);
        /** Parts of the streamed response from the bytes that are being decoded. */
        private final DecodedParts decodedParts = new DecodedParts();
        /**
         * Result of a complete response, until the event loop has processed the bytes received together with
         * it; null otherwise.
         */
        private Result pendingResult;
        /** Bytes have been received that do not belong to the response; the connection is not reused. */
        private boolean hasSurplusBytes;
        /**
         * The connection failed or was closed here, so the end of the stream does not mark the end of a
         * response.
         */
        private boolean aborted;
        Channel channel;
        /** The request that it carries; null if it is idle or its request was given up. */
        PendingRequest pending;
        private long idleSinceUs;
        private final TransferProgress progress = new TransferProgress(clock);

        Connection(Target target) {
            this.target = target;
        }

        ChannelHandler[] handlers() {
            return new ChannelHandler[] {new UnsolicitedBytesGuard(), decoder, new HttpRequestEncoder(),
                    this};
        }

        /**
         * Whether it can carry a request. The socket is read first: a close by the backend, or surplus bytes
         * after the previous response, may have been received in this iteration of the event loop and not
         * have been read yet.
         */
        @Override
        public boolean isUsable() {
            if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
            return channel.isActive();
        }

        /** Writes a request, unless it was given up or must not be sent any more. */
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
                    toWrite.upload = new Upload(toWrite, this);
                    toWrite.request.body().attach(toWrite.upload);
                }
            }
        }

        /**
         * Returns a listener for the last write of a request. It marks the request as written, or closes the
         * connection if the write failed.
         */
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
                progress.advanced();
                pending.request.body().resume();
            }
        }

        /**
         * Ends a request whose transfer has stalled: while a response is streamed or a body is written, no
         * time-out of the request may be running.
         *
         * @param maxIdleUs time without progress after which the transfer has stalled, in microseconds
         */
        void closeIfStalled(long maxIdleUs) {
            if (pending == null || progress.idleUs() < maxIdleUs) {
                return;
            }
            if (pending.sink != null) {
                if (channel.config().isAutoRead()) {
                    log.line(Kind.BACKEND, "streamed response from " + target.id()
                            + " has stalled; closing the connection");
                    abort();
                }
            } else if (pending.upload != null && !pending.fullyWritten && !channel.isWritable()) {
                log.line(Kind.BACKEND, "backend " + target.id()
                        + " has stopped reading a request body; closing the connection");
                pending.giveUp(Outcome.CONNECT_FAILED);
            }
        }

        /**
         * Closes the connection during a transfer. A response that is delimited by the end of its connection
         * must not count as complete then.
         */
        private void abort() {
            aborted = true;
            close();
        }

        @Override
        public Target target() {
            return target;
        }

        @Override
        public long idleSinceUs() {
            return idleSinceUs;
        }

        /** Closes the connection, which there is none of if creating its socket has thrown. */
        @Override
        public void close() {
            if (channel != null) {
                Channels.close(channel);
            } else {
                openConnections.remove(this);
            }
        }

        /**
         * Ends the request of a lost connection. Unless the request was completely written or its response is
         * streamed, the backend cannot have executed it.
         */
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
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
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
                boolean bodyHadNotStarted = !reader.mayExceedBuffer();
                pendingResult = reader.read(part);
                if (pendingResult == null && reader.exceedsBuffer()) {
                    startStreaming();
                } else if (pendingResult == null && bodyHadNotStarted && reader.mayExceedBuffer()) {
                    ResponseReader scheduledReader = reader;
                    loop.schedule(FailureIsolation.isolated(log, "the start of a streamed response", () -> {
                        if (reader == scheduledReader && pendingResult == null && pending != null
                                && pending.sink == null) {
                            startStreaming();
                        }
                    }, this::abort), MAX_BUFFERING_MS, TimeUnit.MILLISECONDS);
                }
            }
            if (pendingResult != null) {
                loop.execute(FailureIsolation.isolated(log, "the end of a response", this::finishRequest,
                        this::abort));
            }
        }

        /** Starts to stream the response, beginning with the bytes buffered so far. */
        private void startStreaming() {
            PendingRequest streamed = pending;
            ResponseSink sink = streamed.listener.openSink(reader.contentLength(),
                    () -> resumeReading(streamed));
            if (sink == null) {
                pending.giveUp(Outcome.CANCELLED);
                return;
            }
            pending.sink = sink;
            ByteBuf buffered = reader.takeBufferedBody();
            progress.responseStarted(buffered.readableBytes());
            // Only a response known to be long is freed from the deadline: one of unknown length may turn
            // out short, and short responses are due by the deadline.
            if (pending.timeoutTask != null && reader.contentLength() > ResponseReader.MAX_BUFFERED_BYTES) {
                pending.timeoutTask.cancel(false);
            }
            writeToSink(buffered);
        }

        /**
         * Whether the streamed response is, as far as known, short enough to have been buffered, or the
         * backend has stopped sending it although it is being read.
         */
        private boolean isShortOrStalled() {
            long knownBytes = Math.max(progress.streamedBytes(), reader.contentLength());
            return knownBytes <= ResponseReader.MAX_BUFFERED_BYTES
                    || channel.config().isAutoRead()
                    && progress.idleUs() > MAX_STALL_AT_SHUTDOWN_US;
        }

        /**
         * Starts to stream the response if its head says that it is long. Its first bytes are due by the
         * deadline, the others when the backend sends them.
         */
        boolean startIfKnownToBeLong() {
            if (pendingResult == null && reader.isKnownToBeLong()) {
                startStreaming();
            }
            return pending != null && pending.sink != null;
        }

        private void streamPart(HttpObject part) {
            if (part.decoderResult().isFailure()) {
                abort();
                return;
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                progress.responseReceived(content.content().readableBytes());
                if (progress.streamedBytes() > ResponseReader.MAX_BODY_BYTES) {
                    log.line(Kind.BACKEND, "response from " + target.id()
                            + " exceeds the size limit; closing the connection");
                    abort();
                    return;
                }
                decodedParts.add(content.content());
            }
            if (part instanceof LastHttpContent) {
                writeDecodedParts();
                if (pending != null) {
                    pending.sink.end();
                    pendingResult = Result.withoutBody(Outcome.OK);
                }
            }
        }

        /** Gives the parts that were decoded from one read to the sink, if they are still wanted. */
        private void writeDecodedParts() {
            if (decodedParts.isEmpty()) {
                return;
            }
            if (pending != null && pending.sink != null) {
                writeToSink(decodedParts.takeJoined(channel.alloc()));
            } else {
                decodedParts.releaseAll();
            }
        }

        private void writeToSink(ByteBuf bytes) {
            progress.advanced();
            pending.sink.write(bytes);
            if (pending != null && !pending.sink.isWritable()) {
                channel.config().setAutoRead(false);
            }
        }

        private void resumeReading(PendingRequest streamed) {
            if (pending != streamed) {
                return;
            }
            progress.advanced();
            channel.config().setAutoRead(true);
        }

        /**
         * Ends the request, in a later task of the event loop than the one that read the response. Bytes that
         * the backend sent after the response must have been noticed before the connection carries the next
         * request; otherwise they would be taken for the response to that request.
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
                // Backends execute a request only once it is complete, so a successful response before that
                // may belong to another request.
                result = Result.withoutBody(Outcome.ERROR);
            }
            boolean reusable = !hasSurplusBytes && !decoder.hasUndecodedBytes() && finished.fullyWritten
                    && reader.isKeepAlive();
            try {
                prepareForNextRequest(reusable);
            } finally {
                finished.complete(result);
            }
        }

        private void prepareForNextRequest(boolean reusable) {
            reader.releaseBuffer();
            reader = new ResponseReader(transferBudget);
            if (reusable && channel.isActive()) {
                channel.config().setAutoRead(true);
                returnToPool();
            } else {
                channel.close();
            }
        }

        private void returnToPool() {
            idleSinceUs = clock.nowUs();
            idleConnections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            try {
                writeDecodedParts();
                reader.releaseBuffer();
            } finally {
                idleConnections.remove(this);
                onConnectionLost();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            aborted = true;
            log.line(Kind.BACKEND, "connection to " + target.address() + " failed: " + cause);
            ctx.close();
        }

        /**
         * Inspects bytes before they are decoded. Bytes that are received while no response is expected are
         * dropped, and the connection is closed.
         */
        private final class UnsolicitedBytesGuard extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                if (pendingResult == null && pending != null && pending.writeStarted) {
                    ctx.fireChannelRead(bytes);
                    writeDecodedParts();
                    return;
                }
                ReferenceCountUtil.release(bytes);
                hasSurplusBytes = true;
                if (pendingResult == null) {
                    log.line(Kind.BACKEND, "unsolicited bytes from " + target.address()
                            + "; closing the connection");
                    ctx.close();
                }
            }
        }
    }
}
