package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One client's connection. Answers leave in the order of the requests. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Requests of one connection that may be unanswered before no more are read from it. */
    private static final int MAX_PIPELINED_REQUESTS = 4;
    /** How long a connection that is ended is still read, so that no reset overtakes its last answer. */
    private static final long LINGER_TIMEOUT_MS = 200;
    /** And how much. */
    private static final int MAX_LINGER_BYTES = 1 << 18;
    /** A request that is answered before all of it is in may go on for so long. */
    private static final long REQUEST_REMAINDER_TIMEOUT_MS = 2_000;
    /** A client that takes nothing of an answer for so long is gone. */
    private static final int WRITE_TIMEOUT_S = 10;
    /** A connection of which not all is read may have ended; after so long its requests are not sent on. */
    private static final long MAX_UNREAD_US = 200_000;

    /** A request on a connection, until its answer is written. */
    private static final class PipelinedRequest implements ProxyLoop.Responder, RequestBody.Source,
            AnswerStream.Owner {
        private final ClientConnection connection;
        private final HttpRequest head;
        private final RequestBody body;
        private final boolean keepAlive;
        /** Its id while the proxy holds it. */
        private String activeId;
        private Answer response;
        /** Its answer, where that is passed on as it comes. */
        private AnswerStream responseStream;

        PipelinedRequest(ClientConnection connection, HttpRequest head, RequestBody body, boolean keepAlive) {
            this.connection = connection;
            this.head = head;
            this.body = body;
            this.keepAlive = keepAlive;
        }

        @Override
        public void answer(Answer finalResponse) {
            response = finalResponse;
            connection.writeResponses();
        }

        @Override
        public BackendPool.AnswerSink stream(long length, Runnable readOn) {
            responseStream = new AnswerStream(connection.channel, head.protocolVersion(), length, readOn,
                    this);
            connection.writeResponses();
            return responseStream;
        }

        @Override
        public void ended() {
            connection.writeResponses();
        }

        @Override
        public void brokenBeforeItsTurn() {
            responseStream = null;
            answer(Answer.failed());
        }

        @Override
        public void broken() {
            connection.inputDiscarded = true;
            connection.channel.close();
        }

        /** A body that is on its way must not wait until its client has sent all of it. */
        @Override
        public boolean isPresent() {
            return this == connection.incompleteRequest || !connection.mayHaveMissedClose();
        }

        @Override
        public void readOn() {
            connection.scheduleHandling();
        }

        @Override
        public void spent() {
            if (activeId != null) {
                connection.server.proxy().spent(activeId);
            }
        }

        /** The id by which the proxy holds it while it owes an answer, or null. */
        private String unansweredId() {
            return response == null && (responseStream == null || !responseStream.isEnded())
                    ? activeId : null;
        }

        private void releaseBuffers() {
            if (body != null) {
                body.drop();
            }
            if (responseStream != null) {
                responseStream.release();
            }
        }
    }

    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final RequestReader reader;
    private final ReadAheadBuffer readAhead;
    private final ArrayDeque<PipelinedRequest> requests = new ArrayDeque<>();
    private final MinimumReceiveRate receiveRate = new MinimumReceiveRate();
    /** The turn of a request that was taken while it still came in; null where none is. */
    private PipelinedRequest incompleteRequest;
    private final long connectedAtUs;
    /** When the request that is coming in began to; 0 where none is. */
    private long incompleteSinceUs;
    /** When the last answer was written. */
    private long lastResponseAtUs;
    /** What has come in is handled in a later step of the loop. */
    private boolean handlingScheduled;
    /** Since when not all is read that the client may have sent; 0 where all is. */
    private long unreadSinceUs;
    /** Nothing more is taken: the connection ends with the answers to what is open. */
    private boolean inputDiscarded;
    /** The connection ends with the request that is coming in, of which nothing is wanted any more. */
    private boolean closesAfterIncompleteRequest;
    private boolean writingResponses;
    /** What came last could not be taken; there may be more of it, unread. */
    private boolean requestRejected;
    /** Its last answer is written. */
    private boolean lastResponseWritten;
    /** Its client has been told of its end and has not closed it yet. */
    private boolean lingering;

    ClientConnection(ClientServer server, Channel channel, long nowUs) {
        this.server = server;
        this.channel = channel;
        this.reader = new RequestReader(server.budget());
        this.readAhead = new ReadAheadBuffer(server.budget());
        this.connectedAtUs = nowUs;
    }

    /** What stands between the socket and this. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new WriteTimeoutHandler(WRITE_TIMEOUT_S), decoder,
            new HttpResponseEncoder(), this};
    }

    /** Whether it may be closed for another: no request is open and none has begun to come in. */
    boolean isIdle() {
        return requests.isEmpty() && readAhead.isEmpty() && incompleteSinceUs == 0 && !inputDiscarded
                && !hasUnsentResponse();
    }

    /** Whether some of an answer may not have arrived yet: closed now, it could be cut off. */
    boolean hasUnsentResponse() {
        return channel.isActive() && (lingering || hasUnflushedBytes());
    }

    /** Whether some of an answer has not been handed to the network yet. */
    private boolean hasUnflushedBytes() {
        return channel.isActive()
                && channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
    }

    boolean hasSentResponse() {
        return lastResponseAtUs > 0;
    }

    /** Since when it is idle. */
    long idleSinceUs() {
        return hasSentResponse() ? lastResponseAtUs : connectedAtUs;
    }

    /**
     * Ends a connection whose first request does not come, or on which one does not come to an end. Its time
     * runs from the start, however often a few bytes come.
     */
    void closeIfStalled(long nowUs, long firstRequestTimeoutUs, long idleTimeoutUs) {
        if (incompleteSinceUs > 0) {
            long startedAtUs = hasSentResponse() || !requests.isEmpty() && incompleteRequest == null
                    ? incompleteSinceUs : connectedAtUs;
            if (reader.isBodyFull() || !readAhead.isEmpty()) {
                receiveRate.readingPaused(nowUs);
            }
            if (receiveRate.isTooSlow(nowUs, startedAtUs)) {
                server.logClientEvent("a request did not come to an end");
                rejectRequest(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (isIdle()
                && nowUs - idleSinceUs() > (hasSentResponse() ? idleTimeoutUs : firstRequestTimeoutUs)) {
            closeIfIdle();
        }
    }

    /** Closes it; it is a fault of this program where a request on it is owed its answer. */
    void close() {
        if (channel.isActive()) {
            requests.stream()
                    .filter(request -> request.responseStream == null && request.unansweredId() != null)
                    .forEach(request -> server.proxy().guard().recordClosedUnanswered(request.activeId));
        }
        channel.close();
    }

    /** Whether nothing is owed any more and only its client's end is waited for. */
    boolean isLingering() {
        return lingering;
    }

    /** Whether it is idle still once all is read that has come in by now. */
    boolean isIdleAfterRead() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafeChannel) {
            unsafeChannel.read();
        }
        return isIdle();
    }

    /** Closes it unless a request has come that is not read yet: its client would have to send it again. */
    void closeIfIdle() {
        if (!isIdleAfterRead()) {
            return;
        }
        if (hasSentResponse()) {
            inputDiscarded = true;
            startLingering();
        } else {
            close();
        }
    }

    /**
     * Ends its sending, and passes over what still comes until its client closes it too. Closed at once, a
     * reset would answer what comes, and take with it what has not arrived of the last answer.
     */
    private void startLingering() {
        if (!channel.isActive() || ((SocketChannel) channel).isInputShutdown()) {
            close();
            return;
        }
        lastResponseWritten = true;
        lingering = true;
        channel.pipeline().addFirst(new DiscardingHandler());
        ((SocketChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(this::close, LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Lets go of all that comes, up to its limit. */
    private final class DiscardingHandler extends ChannelInboundHandlerAdapter {
        private int discardedBytes;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            discardedBytes += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (discardedBytes > MAX_LINGER_BYTES) {
                close();
            }
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.connectionOpened(this);
        ctx.fireChannelActive();
    }

    /**
     * Holds what has come in until all is read that has: a client that sent a request and left must not have
     * it sent on.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpRequest) {
            decoder.headDelivered();
        }
        if (inputDiscarded) {
            discardPart(part);
            return;
        }
        readAhead.add(part, server.nowUs());
        if (readAhead.isFull()) {
            channel.config().setAutoRead(false);
            unreadSinceUs = unreadSinceUs == 0 ? server.nowUs() : unreadSinceUs;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        clearUnreadUnlessFull();
        updateIncompleteSince();
        scheduleHandling();
        ctx.fireChannelReadComplete();
    }

    private boolean mayHaveMissedClose() {
        return unreadSinceUs > 0 && server.nowUs() - unreadSinceUs > MAX_UNREAD_US;
    }

    /** The rest of what came behind the last request is read, so that the client's end is seen. */
    private void discardPart(HttpObject part) {
        if (closesAfterIncompleteRequest && part instanceof LastHttpContent) {
            close();
        }
    }

    /** Handles what has come in, in a later step: within this one it would go ever deeper. */
    private void scheduleHandling() {
        if (!handlingScheduled) {
            handlingScheduled = true;
            channel.eventLoop().execute(() -> {
                handlingScheduled = false;
                handleBufferedParts();
            });
        }
    }

    /**
     * Guards the loop and the memory against a connection that sends on and on: no more than a few requests
     * are open or are handled in one step of the loop, and none is taken while answers are not.
     */
    private void handleBufferedParts() {
        int completedRequests = 0;
        while (completedRequests < MAX_PIPELINED_REQUESTS && canHandleMore() && !readAhead.isEmpty()) {
            ReadAheadBuffer.ReceivedPart received = readAhead.poll();
            try {
                completedRequests += received.part() instanceof LastHttpContent ? 1 : 0;
                handlePart(received.part(), received.receivedAtUs());
            } finally {
                ReferenceCountUtil.release(received.part());
            }
        }
        if (canHandleMore() && !readAhead.isEmpty()) {
            scheduleHandling();
        }
        updateIncompleteSince();
        if (!readAhead.isFull() && !inputDiscarded && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
            // A timer runs once the loop has read what there is; where nothing is, no read tells of it.
            channel.eventLoop().schedule(this::clearUnreadUnlessFull, 1, TimeUnit.MILLISECONDS);
        }
    }

    private void clearUnreadUnlessFull() {
        if (!readAhead.isFull()) {
            unreadSinceUs = 0;
        }
    }

    private boolean canHandleMore() {
        return !inputDiscarded
                && requests.size() < MAX_PIPELINED_REQUESTS + (incompleteRequest == null ? 0 : 1)
                && channel.isWritable() && !reader.isBodyFull();
    }

    /** Takes no more: what is held, and all that still comes, is passed over. */
    private void discardFurtherInput() {
        inputDiscarded = true;
        while (!readAhead.isEmpty()) {
            HttpObject part = readAhead.poll().part();
            discardPart(part);
            ReferenceCountUtil.release(part);
        }
        if (channel.isOpen() && !lastResponseWritten) {
            channel.config().setAutoRead(true);
        }
    }

    private void handlePart(HttpObject part, long receivedAtUs) {
        if (part instanceof HttpRequest && mayHaveMissedClose()) {
            server.logClientEvent("more requests came at once than are read; their client may have left");
            rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        RequestReader.IncomingRequest incoming;
        try {
            incoming = reader.read(part);
        } catch (RequestReader.UnreadableRequestException unreadable) {
            server.logClientEvent("request refused with " + unreadable.status() + ": "
                    + unreadable.getMessage());
            rejectRequest(unreadable.status());
            return;
        }
        if (part instanceof HttpRequest) {
            receiveRate.requestStarted();
            if (requests.isEmpty() && reader.isAwaitingContinue(part)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (part instanceof HttpContent content) {
            receiveRate.bytesReceived(server.nowUs(), content.content().readableBytes());
        }
        if (incoming.body().isWhole()) {
            incompleteSinceUs = 0;
            if (incompleteRequest == null) {
                acceptRequest(incoming, server.nowUs() - receivedAtUs);
            } else {
                PipelinedRequest completed = incompleteRequest;
                incompleteRequest = null;
                if (!completed.keepAlive) {
                    discardFurtherInput();
                }
                server.proxy().whole(completed.activeId);
            }
        } else if (incompleteRequest == null && incoming.body().isLong()) {
            acceptRequest(incoming, 0);
        }
    }

    /** Takes a request that is whole, or too long to wait until it is. */
    private void acceptRequest(RequestReader.IncomingRequest incoming, long waitedUs) {
        boolean complete = incoming.body().isWhole();
        PipelinedRequest request = new PipelinedRequest(this, incoming.head(), incoming.body(),
                HttpUtil.isKeepAlive(incoming.head()));
        requests.add(request);
        incoming.body().source(request);
        incompleteRequest = complete ? null : request;
        if (complete && !request.keepAlive) {
            discardFurtherInput();
        }
        try {
            dispatchRequest(request, incoming, waitedUs);
        } catch (RequestParser.InvalidRequestException invalid) {
            server.logClientEvent("request refused with " + invalid.status() + ": " + invalid.getMessage());
            if (complete) {
                request.answer(Answer.of(invalid.status()));
            } else {
                rejectRequest(invalid.status());
            }
        }
    }

    private void dispatchRequest(PipelinedRequest request, RequestReader.IncomingRequest incoming,
            long waitedUs) throws RequestParser.InvalidRequestException {
        if (incoming.head().method().equals(HttpMethod.GET) && incoming.head().uri().equals("/ready")) {
            request.answer(Answer.of(server.isReady() ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
            return;
        }
        ProxyRequest proxyRequest = server.parse(incoming, waitedUs);
        request.activeId = proxyRequest.id();
        if (!server.proxy().take(proxyRequest, request)) {
            // It is another's: nothing that becomes of this connection may touch it.
            request.activeId = null;
            throw new RequestParser.InvalidRequestException(HttpResponseStatus.BAD_REQUEST,
                    "X-Request-Id is already in use");
        }
    }

    /** Notes when a request began to come in that is not whole yet. */
    private void updateIncompleteSince() {
        if (inputDiscarded || !reader.hasIncompleteRequest() && !decoder.hasUndeliveredBytes()) {
            incompleteSinceUs = 0;
        } else if (incompleteSinceUs == 0) {
            incompleteSinceUs = server.nowUs();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        scheduleHandling();
        PipelinedRequest first = requests.peek();
        if (first != null && first.responseStream != null) {
            first.responseStream.writable();
        }
    }

    /** Answers what cannot be taken, after what came before it, and takes nothing behind it. */
    private void rejectRequest(HttpResponseStatus status) {
        requestRejected = true;
        discardFurtherInput();
        incompleteSinceUs = 0;
        PipelinedRequest request = incompleteRequest;
        incompleteRequest = null;
        if (request == null) {
            reader.discardIncomplete();
            request = new PipelinedRequest(this, null, null, false);
            requests.add(request);
        } else if (request.unansweredId() != null) {
            // It is not the request that its client meant, and must not run.
            server.proxy().clientGone(request.activeId);
        }
        if (request.responseStream != null) {
            request.responseStream.broken();
        } else if (request.response == null) {
            request.answer(Answer.of(status));
        }
    }

    /** Writes what is answered, up to the first request that is not. */
    private void writeResponses() {
        if (writingResponses) {
            return;
        }
        writingResponses = true;
        boolean nextMayBeWritten = true;
        while (nextMayBeWritten && !requests.isEmpty()) {
            PipelinedRequest request = requests.peek();
            if (request.response != null) {
                requests.poll();
                writeResponse(request.response, keepsAlive(request));
                request.releaseBuffers();
            } else if (request.responseStream != null) {
                request.responseStream.begin(keepsAlive(request));
                nextMayBeWritten = request.responseStream.isWhole();
                if (nextMayBeWritten) {
                    requests.poll();
                    lastResponseAtUs = server.nowUs();
                    ChannelFuture written = request.responseStream.finish();
                    if (!request.responseStream.keepsAlive()) {
                        closeAfter(written);
                    }
                    request.releaseBuffers();
                }
            } else {
                nextMayBeWritten = false;
            }
        }
        writingResponses = false;
        scheduleHandling();
    }

    /**
     * Only the last of the requests that have been read may end the connection: its client would take those
     * behind it for taken, and they would be lost. One that is not all in must.
     */
    private boolean keepsAlive(PipelinedRequest request) {
        boolean isLast = readAhead.isEmpty()
                && (requests.isEmpty() || requests.size() == 1 && requests.peek() == request);
        return request.keepAlive && request != incompleteRequest
                && !(isLast && (requestRejected || server.closesAfterLastResponse()));
    }

    private void writeResponse(Answer response, boolean keepAlive) {
        DefaultFullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                response.status(), Unpooled.wrappedBuffer(response.body()));
        httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        if (response.retryAfter() != null) {
            httpResponse.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfter());
        }
        if (!keepAlive) {
            httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        lastResponseAtUs = server.nowUs();
        ChannelFuture written = channel.writeAndFlush(httpResponse);
        if (!keepAlive) {
            closeAfter(written);
        }
    }

    /** Lets the answer arrive and then closes the connection, on which nothing more is read. */
    private void closeAfter(ChannelFuture written) {
        if (incompleteRequest != null) {
            // The rest of its request is read and let go: a reset could overtake the answer.
            incompleteRequest = null;
            closesAfterIncompleteRequest = true;
            incompleteSinceUs = 0;
            channel.eventLoop().schedule(this::close, REQUEST_REMAINDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            discardFurtherInput();
            return;
        }
        discardFurtherInput();
        lastResponseWritten = true;
        channel.config().setAutoRead(false);
        written.addListener(completedWrite -> {
            if (completedWrite.isSuccess()) {
                startLingering();
            } else {
                close();
            }
        });
    }

    /** No answer is owed any more for what is open here. */
    private void abandonRequests() {
        List<PipelinedRequest> abandoned = List.copyOf(requests);
        requests.clear();
        incompleteRequest = null;
        for (PipelinedRequest request : abandoned) {
            String unansweredId = request.unansweredId();
            request.releaseBuffers();
            if (unansweredId != null) {
                server.proxy().clientGone(unansweredId);
            }
        }
        reader.discardIncomplete();
        readAhead.releaseAll();
        incompleteSinceUs = 0;
    }

    /** A client that ends its sending has gone; one that reads on is told that it gets nothing. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (lingering) {
                close();
            } else if (!(requestRejected && requests.isEmpty())) {
                failConnection();
            }
        }
    }

    private void failConnection() {
        boolean canSendResponse = requests.isEmpty() ? !readAhead.isEmpty()
                : requests.peek().responseStream == null || !requests.peek().responseStream.isBegun();
        inputDiscarded = true;
        abandonRequests();
        if (canSendResponse) {
            writeResponse(Answer.failed(), false);
        } else {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        inputDiscarded = true;
        abandonRequests();
        server.connectionClosed(this);
    }

    /** An error in here ends what this connection has out, and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.logClientEvent("client connection: " + cause);
        if (requestRejected || lingering) {
            channel.close();
        } else {
            failConnection();
        }
    }
}
