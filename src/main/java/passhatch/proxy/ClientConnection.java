package passhatch.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
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
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * A client's HTTP connection. Requests may be pipelined; responses are written in the order of the requests.
 * Used by the event loop only; times ending in {@code AtUs} or {@code SinceUs} are microseconds of the
 * proxy's clock.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Unanswered complete requests of a connection beyond which no more of its input is handled. */
    private static final int MAX_PIPELINED_REQUESTS = 4;
    /** How long input is read after the last response, so that no reset overtakes that response. */
    private static final long LINGER_TIMEOUT_MS = 200;
    /** How much input is read after the last response before the connection is closed. */
    private static final int MAX_LINGER_BYTES = 1 << 18;
    /** How long the remainder of a request is read that was answered before it was complete. */
    private static final long REQUEST_REMAINDER_TIMEOUT_MS = 2_000;
    /** A client that accepts no bytes of a response for this long is considered gone. */
    private static final int WRITE_TIMEOUT_S = 10;
    /**
     * How long after its client's time a request gets its final response if its last byte is unread, so that
     * nobody knows when it was written. The rules allow half a second.
     */
    private static final long UNREAD_END_GRACE_US = 150_000;

    private final ClientServer server;
    private final Channel channel;
    private final MemoryAccount memory;
    private final RequestReader reader;
    private final ReadAheadBuffer readAhead;
    /** Requests whose responses are not written completely, in the order of arrival. */
    private final ArrayDeque<PipelinedRequest> requests = new ArrayDeque<>();
    private final RequestProgress progress = new RequestProgress();
    /** The request that was accepted before its body was complete, while the body is incomplete; or null. */
    private PipelinedRequest incompleteRequest;
    private final ClientPresence presence;
    private final TransferMonitor transfers;
    private final InputFlow input;
    private final RequestDecoder decoder;
    private final long connectedAtUs;
    /** When the last response was written; 0 if none was. */
    private long lastResponseAtUs;
    /** Whether a task of the event loop is scheduled that handles buffered input. */
    private boolean handlingScheduled;
    /** Whether the end of a request waits for a look at its client's presence. */
    private boolean presenceCheckScheduled;
    /** Whether further input is discarded: the connection closes after the responses to open requests. */
    private boolean inputDiscarded;
    /** Whether the connection closes when the remainder of an incomplete request has been discarded. */
    private boolean closesAfterIncompleteRequest;
    /** Whether {@link #writeResponses} is running; it does nothing if it is called again meanwhile. */
    private boolean writingResponses;
    /** Whether the last request was rejected; there may be unread input that belongs to it. */
    private boolean requestRejected;
    /** Whether the last response of this connection has been written. */
    private boolean lastResponseWritten;
    /** Whether the sending side is shut down and the client has not closed its side yet. */
    private boolean lingering;
    /** Null while there is no reason of this process to close it. */
    private CloseReason closeReason;

    /**
     * Creates the handler of a connection that has been accepted now.
     *
     * @param queueTimeUs the longest time that it can have waited to be accepted, in microseconds
     */
    ClientConnection(ClientServer server, Channel channel, Clock clock, long queueTimeUs) {
        this.server = server;
        this.channel = channel;
        this.connectedAtUs = clock.nowUs() - queueTimeUs;
        this.presence =
                new ClientPresence(clock, new ClientSocket(channel, this::roomToLook), connectedAtUs);
        this.transfers = new TransferMonitor(clock, queueTimeUs, server::maxUnreadUs);
        this.memory = new MemoryAccount(server.memory().input(), clock, server::reclaimMemory);
        this.reader = new RequestReader(memory);
        this.readAhead = new ReadAheadBuffer(memory);
        this.input = new InputFlow(channel, clock, transfers, readAhead, memory, server.lookLease(),
                server::readingResumed);
        this.decoder = input.decoder();
    }

    /** Limits the bytes of responses that are on their way to clients. */
    MemoryBudget transferBudget() {
        return server.memory().transfer();
    }

    Channel channel() {
        return channel;
    }

    ProxyLoop proxy() {
        return server.proxy();
    }

    /** Why it is closed, or was. */
    CloseReason closeReason() {
        return closeReason == null ? CloseReason.BY_CLIENT : closeReason;
    }

    private void noteCloseReason(CloseReason reason) {
        closeReason = closeReason == null ? reason : closeReason;
    }

    /** Logs an event of this connection, with its client's address. */
    private void logEvent(String message) {
        server.logClientEvent(message + " (client " + channel.remoteAddress() + ")");
    }

    /** The client's address and the state of its input, in brackets, as the end of a log line. */
    String describeClient() {
        return " (client " + channel.remoteAddress() + ", " + describeInput() + ")";
    }

    private String describeInput() {
        return "known present " + presence.ageUs() / 1_000 + " ms ago, " + input.describe();
    }

    /** Closes the connection at once, because a response cannot be given or completed. */
    void abort() {
        noteCloseReason(CloseReason.RESPONSE_FAILED);
        inputDiscarded = true;
        channel.close();
    }

    /** What is known of the client's presence; may find and handle its close. */
    ClientPresence.Status clientStatus() {
        ClientPresence.Status status = presence.status();
        if (status != ClientPresence.Status.UNDECIDED) {
            input.lookEnded();
        }
        return status;
    }

    private ClientSocket.LookRoom roomToLook() {
        return lastResponseWritten ? ClientSocket.LookRoom.NONE
                : input.roomToLook(incompleteRequest != null);
    }

    /** The handlers of the channel's pipeline, from the socket up to and including this one. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new WriteTimeoutHandler(WRITE_TIMEOUT_S), transfers,
            new PresenceMonitor(presence, server::readDelayBoundUs), decoder, new HttpResponseEncoder(),
            this};
    }

    /** Whether no request is open or received in part and no response is unsent, so that it can be closed. */
    boolean isIdle() {
        return requests.isEmpty() && readAhead.isEmpty() && !progress.isIncomplete() && !inputDiscarded
                && !hasUnsentResponse();
    }

    /** Whether part of a response may not have reached the client: closing now could cut it off. */
    boolean hasUnsentResponse() {
        return channel.isActive() && (lingering || hasUnflushedBytes());
    }

    /** Whether part of a response has not been handed to the network yet. */
    private boolean hasUnflushedBytes() {
        return channel.isActive()
                && channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
    }

    /** Whether a response has been written on this connection. */
    boolean hasSentResponse() {
        return lastResponseAtUs > 0;
    }

    /** When an idle connection became idle, in microseconds: at its last response, or when it connected. */
    long idleSinceUs() {
        return hasSentResponse() ? lastResponseAtUs : connectedAtUs;
    }

    /** When its client can have connected at the earliest, in microseconds. */
    long connectedAtUs() {
        return connectedAtUs;
    }

    /** When bytes were last received, in microseconds, or when it was accepted if none were. */
    long lastReceivedUs() {
        return transfers.lastReceivedUs();
    }

    /** Whether its client has accepted no byte of a response for the given time, in microseconds. */
    boolean isWriteStalled(long nowUs, long limitUs) {
        return transfers.isWriteStalled(nowUs, limitUs);
    }

    /** Whether a request on it has been complete, or large enough to be forwarded before that. */
    boolean hasHadRequest() {
        return hasSentResponse() || !requests.isEmpty();
    }

    /** Whether its only open request is incomplete, and no response to it has begun. */
    boolean isReceivingRequest() {
        return progress.isIncomplete() && readAhead.isEmpty() && (requests.isEmpty()
                || requests.size() == 1 && incompleteRequest != null && !incompleteRequest.isStreamed());
    }

    /** What it holds of the memory for client input. */
    MemoryAccount memory() {
        return memory;
    }

    /** Rejects the request that is received, as others need the memory that it holds. */
    void giveUpMemory() {
        logEvent("request refused with 503 Service Unavailable: it has held memory that others need");
        rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /** Whether its only open request arrives too slowly to keep a place that others need. */
    boolean isTooSlowIfContended(long nowUs) {
        return isReceivingRequest() && !reader.isBodyFull() && progress.isTooSlowIfContended(nowUs,
                reader.hasIncompleteRequest(), incompleteRequestStartUs());
    }

    /** When the incomplete request started; the first one starts with the connection. */
    private long incompleteRequestStartUs() {
        return hasSentResponse() || !requests.isEmpty() && incompleteRequest == null
                ? progress.incompleteSinceUs() : connectedAtUs;
    }

    /**
     * Closes the connection if it is idle for too long, rejects a request that is received too slowly, and
     * ends one whose client's time is over while the proxy itself does not read its end.
     * The time for a request counts from its start, or from connecting for the first one, however often a
     * few bytes arrive.
     *
     * @param firstRequestTimeoutUs idle time allowed until the first request begins, in microseconds
     * @param idleTimeoutUs idle time allowed after a response, in microseconds
     */
    void closeIfStalled(long nowUs, long firstRequestTimeoutUs, long idleTimeoutUs) {
        endIfOverdue();
        if (progress.isIncomplete()) {
            if (reader.isBodyFull() || !readAhead.isEmpty()) {
                progress.readingPaused(nowUs);
            }
            if (progress.isTooSlow(nowUs, incompleteRequestStartUs())) {
                logEvent("request refused with 408 Request Timeout: it is received too slowly");
                rejectRequest(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (isIdle()
                && nowUs - idleSinceUs() > (hasSentResponse() ? idleTimeoutUs : firstRequestTimeoutUs)) {
            closeIfIdle();
        }
    }

    /**
     * Ends an incomplete request whose client's time is over. Its time runs from when its last byte may have
     * been written, also while that byte waits unread because the server takes no more.
     */
    private void endIfOverdue() {
        long endReceivedAtUs = readAhead.firstEndReceivedAtUs();
        long unhandledSinceUs = endReceivedAtUs > 0 ? endReceivedAtUs : transfers.unreadSinceUs();
        if (incompleteRequest != null && incompleteRequest.activeId() != null
                && (endReceivedAtUs > 0 || transfers.hasUnread()) && progress.mayHaveEnded()) {
            server.proxy().endIfOverdue(incompleteRequest.activeId(),
                    progress.earliestEndUs(unhandledSinceUs), UNREAD_END_GRACE_US);
        }
    }

    /** Closes the connection. A request that is left without a response is reported as a violation. */
    void close() {
        server.isolated("the report of unanswered requests", this::reportUnansweredRequests, () -> { }).run();
        channel.close();
    }

    private void reportUnansweredRequests() {
        if (channel.isActive()) {
            requests.stream().filter(request -> !request.isStreamed() && request.unansweredId() != null)
                    .forEach(request -> server.proxy().guard().recordClosedUnanswered(request.activeId()));
        }
    }

    /** Whether the last response is sent and the connection only waits for the client to close. */
    boolean isLingering() {
        return lingering;
    }

    /** Reads input that has arrived by now, unless it would be discarded. */
    void readUnlessLingering() {
        if (!lingering && channel.isActive()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafeChannel) {
            unsafeChannel.read();
        }
    }

    /** Closes the connection for a new one. A request that has arrived in part is answered with 408. */
    void evict() {
        noteCloseReason(CloseReason.EVICTED);
        if (isReceivingRequest()) {
            rejectRequest(HttpResponseStatus.REQUEST_TIMEOUT);
        }
        close();
    }

    /**
     * Closes the connection if it is idle, also after reading: a request that has arrived unread would be
     * lost, and its client would have to send it again.
     */
    void closeIfIdle() {
        readUnlessLingering();
        if (!isIdle()) {
            return;
        }
        noteCloseReason(CloseReason.IDLE);
        if (hasSentResponse()) {
            inputDiscarded = true;
            startLingering();
        } else {
            close();
        }
    }

    /**
     * Shuts down the sending side and discards input until the client closes the connection too. If it were
     * closed at once, further input would cause a reset, which can discard the part of the last response that
     * has not reached the client.
     */
    private void startLingering() {
        if (!channel.isActive() || ((SocketChannel) channel).isInputShutdown()) {
            close();
            return;
        }
        lastResponseWritten = true;
        lingering = true;
        channel.pipeline().addFirst(new DiscardingHandler(MAX_LINGER_BYTES, this::close));
        ((SocketChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(this::close, LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.connectionOpened(this);
        ctx.fireChannelActive();
    }

    /**
     * Buffers input until all that has arrived is read, so that a request is not sent to a backend if its
     * client has closed the connection right behind it.
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
        readAhead.add(part, transfers.unreadSinceUs());
        input.partBuffered();
    }

    /** Decodes input that has been read, and reads on if that leaves room for more. */
    private void resumeInput() {
        try {
            input.decode();
        } catch (Exception e) {
            channel.pipeline().fireExceptionCaught(e);
            return;
        }
        updateIncompleteSince();
        accountForUndelivered();
        if (canHandleMore() && !readAhead.isEmpty() && !presenceCheckScheduled
                || decoder.isPaused() && !readAhead.isFull()) {
            scheduleHandling();
        }
        input.readOn();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        input.readCompleted();
        updateIncompleteSince();
        accountForUndelivered();
        scheduleHandling();
        ctx.fireChannelReadComplete();
    }

    /** Counts the memory that the decoder holds; rejects its request if there is none left. */
    private void accountForUndelivered() {
        if (!inputDiscarded && !input.reserveUndelivered()) {
            logEvent("request refused with 503 Service Unavailable: the memory for heads is exhausted");
            rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    private void rejectAsMaybeGone() {
        logEvent("request refused with 503 Service Unavailable: input was unread for too long to tell whether"
                + " its client is still connected, " + describeInput());
        server.presenceUnknown();
        rejectRequest(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /** Ignores input behind the last request, which is read only so that a close by the client is seen. */
    private void discardPart(HttpObject part) {
        if (closesAfterIncompleteRequest && part instanceof LastHttpContent) {
            close();
        }
    }

    /**
     * Handles buffered input in a later task of the event loop, as direct calls would recurse ever deeper.
     */
    void scheduleHandling() {
        if (!handlingScheduled) {
            handlingScheduled = true;
            channel.eventLoop().execute(server.isolated("the handling of input", () -> {
                handlingScheduled = false;
                handleBufferedParts();
            }, this::failAfterError));
        }
    }

    /**
     * Handles buffered input. Guards the event loop and the memory against a client that sends continuously:
     * at most {@link #MAX_PIPELINED_REQUESTS} are open or handled in one task of the event loop, and none is
     * handled while the client does not accept responses.
     */
    private void handleBufferedParts() {
        int completedRequests = 0;
        while (completedRequests < MAX_PIPELINED_REQUESTS && mayHandleNext()) {
            ReadAheadBuffer.ReceivedPart received = readAhead.poll();
            try {
                completedRequests += received.part() instanceof LastHttpContent ? 1 : 0;
                handlePart(received.part(), received.receivedAtUs());
            } finally {
                ReferenceCountUtil.release(received.part());
            }
        }
        if (canHandleMore() && !readAhead.isEmpty() && !presenceCheckScheduled) {
            scheduleHandling();
        }
        updateIncompleteSince();
        input.startTurn();
        if (!readAhead.isFull() && !inputDiscarded) {
            resumeInput();
        }
    }

    /**
     * Whether the next buffered part is to be handled now. The end of a request is handled only while its
     * client is known to be connected: from then on it may be sent to a server.
     */
    private boolean mayHandleNext() {
        if (!canHandleMore() || readAhead.isEmpty()) {
            return false;
        }
        if (!readAhead.isEndNext()) {
            return true;
        }
        ClientPresence.Status status = clientStatus();
        if (status == ClientPresence.Status.UNKNOWN) {
            rejectAsMaybeGone();
        } else if (status == ClientPresence.Status.UNDECIDED) {
            schedulePresenceCheck();
        }
        return status == ClientPresence.Status.PRESENT && canHandleMore();
    }

    private void schedulePresenceCheck() {
        if (!presenceCheckScheduled) {
            presenceCheckScheduled = true;
            channel.eventLoop().schedule(() -> {
                presenceCheckScheduled = false;
                scheduleHandling();
            }, ClientPresence.SETTLE_TIME_US, TimeUnit.MICROSECONDS);
        }
    }

    private boolean canHandleMore() {
        return !inputDiscarded
                && requests.size() < MAX_PIPELINED_REQUESTS + (incompleteRequest == null ? 0 : 1)
                && channel.isWritable() && !reader.isBodyFull();
    }

    /** Discards buffered input and all that is still to come. */
    private void discardFurtherInput() {
        inputDiscarded = true;
        input.releaseUndelivered();
        while (!readAhead.isEmpty()) {
            HttpObject part = readAhead.poll().part();
            discardPart(part);
            ReferenceCountUtil.release(part);
        }
        if (channel.isOpen() && !lastResponseWritten) {
            input.readOnDiscarding();
        }
        if (!closesAfterIncompleteRequest) {
            decoder.discardAll();
        }
        if (decoder.isPaused()) {
            // In a later task, as the decoder may be on the stack; what it holds is discarded then.
            channel.eventLoop().execute(server.isolated("the discarding of input", this::resumeInput,
                    channel::close));
        }
    }

    /** Handles the next part of a request; accepts the request if it is complete or too long to buffer. */
    private void handlePart(HttpObject part, long receivedAtUs) {
        RequestReader.IncomingRequest incoming;
        try {
            incoming = reader.read(part);
        } catch (RequestReader.UnreadableRequestException unreadable) {
            logEvent("request refused with " + unreadable.status() + ": " + unreadable.getMessage());
            rejectRequest(unreadable.status());
            return;
        }
        if (part instanceof HttpRequest) {
            progress.headHandled(server.nowUs(), incoming.body().declaredLength());
            if (requests.isEmpty() && reader.isAwaitingContinue(part)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (part instanceof HttpContent content) {
            progress.bodyHandled(server.nowUs(), content.content().readableBytes());
        }
        if (incoming.body().isComplete()) {
            progress.noteNone();
            if (incompleteRequest == null) {
                acceptRequest(incoming, receivedAtUs);
            } else {
                PipelinedRequest completed = incompleteRequest;
                incompleteRequest = null;
                if (!completed.isKeepAlive()) {
                    discardFurtherInput();
                }
                server.proxy().requestComplete(completed.activeId(),
                        server.waitedUs(progress.earliestEndUs(receivedAtUs)));
            }
        } else if (incompleteRequest == null && incoming.body().exceedsBuffer()) {
            acceptRequest(incoming, receivedAtUs);
        }
    }

    /**
     * Accepts a request that is complete, or whose body is too long to be buffered until it is.
     *
     * @param receivedAtUs when its last part was received, in microseconds
     */
    private void acceptRequest(RequestReader.IncomingRequest incoming, long receivedAtUs) {
        boolean complete = incoming.body().isComplete();
        PipelinedRequest request = new PipelinedRequest(this, incoming.head().protocolVersion(),
                incoming.body(), HttpUtil.isKeepAlive(incoming.head()));
        requests.add(request);
        incoming.body().setSource(request);
        incompleteRequest = complete ? null : request;
        if (complete && !request.isKeepAlive()) {
            discardFurtherInput();
        }
        server.isolated("the handling of a request", () -> dispatchOrReject(request, incoming, receivedAtUs),
                () -> failRequest(request)).run();
    }

    private void dispatchOrReject(PipelinedRequest request, RequestReader.IncomingRequest incoming,
            long receivedAtUs) {
        try {
            server.admission().admit(request, incoming, receivedAtUs);
        } catch (RequestParser.InvalidRequestException invalid) {
            logEvent("request refused with " + invalid.status() + ": " + invalid.getMessage());
            if (incoming.body().isComplete()) {
                server.requestRejected(invalid.status());
                request.respond(ProxyResponse.withStatus(invalid.status()));
            } else {
                rejectRequest(invalid.status());
            }
        }
    }

    /** Fails a request whose handling has thrown; others of the connection are handled as before. */
    private void failRequest(PipelinedRequest request) {
        if (request == incompleteRequest) {
            rejectRequest(HttpResponseStatus.BAD_GATEWAY);
        } else if (request.response() == null && !request.isStreamed()) {
            if (request.activeId() != null) {
                server.proxy().clientGone(request.activeId());
            }
            request.respond(ProxyResponse.failed());
        }
    }

    /** Notes when an incomplete request began to arrive. */
    private void updateIncompleteSince() {
        if (inputDiscarded || !reader.hasIncompleteRequest() && !decoder.hasUndeliveredBytes()) {
            progress.noteNone();
        } else {
            progress.noteIncomplete(server.nowUs());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        scheduleHandling();
        PipelinedRequest first = requests.peek();
        if (first != null && first.isStreamed()) {
            first.responseStream().resumeIfWritable();
        }
    }

    /** Rejects the current request, after the responses to earlier ones, and discards further input. */
    private void rejectRequest(HttpResponseStatus status) {
        server.requestRejected(status);
        noteCloseReason(CloseReason.REJECTED);
        requestRejected = true;
        discardFurtherInput();
        progress.noteNone();
        PipelinedRequest request = incompleteRequest;
        incompleteRequest = null;
        if (request == null) {
            reader.discardIncomplete();
            request = new PipelinedRequest(this, null, null, false);
            requests.add(request);
        } else if (request.unansweredId() != null) {
            // The request was not received as the client meant it, so it must not be executed.
            server.proxy().clientGone(request.activeId());
        }
        if (request.isStreamed()) {
            request.responseStream().fail();
        } else if (request.response() == null) {
            request.respond(ProxyResponse.withStatus(status));
        }
    }

    /** Writes the responses that are available, up to the first request that has none. */
    void writeResponses() {
        if (writingResponses) {
            return;
        }
        writingResponses = true;
        try {
            writeAvailableResponses();
        } finally {
            writingResponses = false;
        }
        scheduleHandling();
    }

    private void writeAvailableResponses() {
        boolean nextMayBeWritten = true;
        while (nextMayBeWritten && !requests.isEmpty()) {
            PipelinedRequest request = requests.peek();
            if (request.response() != null) {
                requests.poll();
                int responseBytes = request.response().body().length;
                writeResponse(request.response(), keepsAlive(request))
                        .addListener(written -> transferBudget().release(responseBytes));
                request.releaseBuffers();
            } else if (request.isStreamed()) {
                request.responseStream().start(keepsAlive(request));
                nextMayBeWritten = request.responseStream().isComplete();
                if (nextMayBeWritten) {
                    requests.poll();
                    lastResponseAtUs = server.nowUs();
                    ChannelFuture written = request.responseStream().writeLastContent();
                    if (!request.responseStream().isKeepAlive()) {
                        closeAfter(written);
                    }
                    request.releaseBuffers();
                }
            } else {
                nextMayBeWritten = false;
            }
        }
    }

    /**
     * Whether the connection stays open after the response to a request. Only the response to the last
     * request that has been read may close it on the proxy's own account: the client would assume that
     * requests behind it were accepted, and they would be lost. The response to an incomplete request always
     * closes it.
     */
    private boolean keepsAlive(PipelinedRequest request) {
        boolean isLast = readAhead.isEmpty() && !decoder.isPaused()
                && (requests.isEmpty() || requests.size() == 1 && requests.peek() == request);
        return request.isKeepAlive() && request != incompleteRequest
                && !(isLast && (requestRejected || server.closesAfterLastResponse()));
    }

    /** Writes a complete response, and closes the connection after it if it is not kept alive. */
    private ChannelFuture writeResponse(ProxyResponse response, boolean keepAlive) {
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
        return written;
    }

    /** Closes the connection when the last response has been delivered; further input is discarded. */
    private void closeAfter(ChannelFuture written) {
        noteCloseReason(CloseReason.AFTER_RESPONSE);
        if (incompleteRequest != null) {
            // The remainder of the request is read and discarded: a reset could overtake the response.
            incompleteRequest = null;
            closesAfterIncompleteRequest = true;
            progress.noteNone();
            channel.eventLoop().schedule(this::close, REQUEST_REMAINDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            discardFurtherInput();
            return;
        }
        discardFurtherInput();
        lastResponseWritten = true;
        channel.config().setAutoRead(false);
        written.addListener(completedWrite -> {
            if (completedWrite.isSuccess()) {
                server.isolated("the end of a connection", this::startLingering, this::close).run();
            } else {
                close();
            }
        });
    }

    /** Abandons all open requests, as their client is gone or the connection fails; releases all buffers. */
    private void abandonRequests() {
        List<PipelinedRequest> abandoned = List.copyOf(requests);
        requests.clear();
        incompleteRequest = null;
        server.forEachIsolated("the end of a request without its client", abandoned, this::abandonRequest,
                request -> { });
        reader.discardIncomplete();
        readAhead.releaseAll();
        input.releaseUndelivered();
        progress.noteNone();
    }

    /** Counts and logs the requests whose client has left before their responses. */
    private void noteAbandoned() {
        List<String> unanswered = requests.stream().map(PipelinedRequest::unansweredId)
                .filter(Objects::nonNull).toList();
        if (!unanswered.isEmpty()) {
            server.clientLeft(unanswered, describeClient());
        }
    }

    private void abandonRequest(PipelinedRequest request) {
        String unansweredId = request.unansweredId();
        request.releaseBuffers();
        request.dropResponse();
        if (unansweredId != null) {
            server.proxy().clientGone(unansweredId);
        }
    }

    /**
     * Treats a client that shuts down its sending side as gone: its requests are abandoned. In case it still
     * reads, it is answered with 502 unless a response has begun.
     */
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

    /** Abandons all open requests, answers with 502 if no response has begun, and closes the connection. */
    private void failConnection() {
        presence.noteLeft();
        boolean canSendResponse = requests.isEmpty() ? !readAhead.isEmpty()
                : !requests.peek().hasStartedStream();
        inputDiscarded = true;
        noteAbandoned();
        abandonRequests();
        if (canSendResponse) {
            writeResponse(ProxyResponse.failed(), false);
        } else {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        presence.noteLeft();
        inputDiscarded = true;
        if (closeReason() == CloseReason.BY_CLIENT) {
            noteAbandoned();
        }
        abandonRequests();
        server.connectionClosed(this);
    }

    /** Closes this connection on an error in its handlers; other connections are not affected. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        logEvent("client connection failed and is closed: " + cause);
        failAfterError();
    }

    /** Closes the connection after an error in its handling. */
    private void failAfterError() {
        noteCloseReason(CloseReason.ERROR);
        if (requestRejected || lingering) {
            channel.close();
        } else {
            server.isolated("the failure of a connection", this::failConnection, channel::close).run();
        }
    }
}
