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
    private static final int MOST_PIPELINED = 4;
    /** How long a connection that is ended is still read, so that no reset overtakes its last answer. */
    private static final long LINGER_MS = 200;
    /** And how much. */
    private static final int MOST_LINGER_BYTES = 1 << 18;
    /** A request that is answered before all of it is in may go on for so long. */
    private static final long MOST_REST_MS = 2_000;
    /** A client that takes nothing of an answer for so long is gone. */
    private static final int WRITE_TIMEOUT_S = 10;
    /** A connection of which not all is read may have ended; after so long its requests are not sent on. */
    private static final long MOST_BLIND_US = 200_000;

    /** A request on a connection, until its answer is written. */
    private static final class Turn implements ProxyLoop.Responder, RequestBody.Source, AnswerStream.Owner {
        private final ClientConnection connection;
        private final HttpRequest head;
        private final RequestBody body;
        private final boolean keepAlive;
        /** Its id while the proxy holds it. */
        private String id;
        private Answer answer;
        /** Its answer, where that is passed on as it comes. */
        private AnswerStream stream;

        Turn(ClientConnection connection, HttpRequest head, RequestBody body, boolean keepAlive) {
            this.connection = connection;
            this.head = head;
            this.body = body;
            this.keepAlive = keepAlive;
        }

        @Override
        public void answer(Answer given) {
            answer = given;
            connection.writeAnswers();
        }

        @Override
        public BackendPool.AnswerSink stream(long length, Runnable readOn) {
            stream = new AnswerStream(connection.channel, head.protocolVersion(), length, readOn, this);
            connection.writeAnswers();
            return stream;
        }

        @Override
        public void ended() {
            connection.writeAnswers();
        }

        @Override
        public void brokenBeforeItsTurn() {
            stream = null;
            answer(Answer.failed());
        }

        @Override
        public void broken() {
            connection.noMore = true;
            connection.channel.close();
        }

        /** A body that is on its way must not wait until its client has sent all of it. */
        @Override
        public boolean isPresent() {
            return this == connection.arriving || !connection.isBlind();
        }

        @Override
        public void readOn() {
            connection.handleOn();
        }

        @Override
        public void spent() {
            if (id != null) {
                connection.server.proxy().spent(id);
            }
        }

        /** The id by which the proxy holds it while it owes an answer, or null. */
        private String owed() {
            return answer == null && (stream == null || !stream.isEnded()) ? id : null;
        }

        private void drop() {
            if (body != null) {
                body.drop();
            }
            if (stream != null) {
                stream.release();
            }
        }
    }

    private final ClientServer server;
    private final Channel channel;
    private final RequestDecoder decoder = new RequestDecoder();
    private final RequestReader reader;
    private final ReadAhead ahead;
    private final ArrayDeque<Turn> turns = new ArrayDeque<>();
    private final ArrivalPace pace = new ArrivalPace();
    /** The turn of a request that was taken while it still came in; null where none is. */
    private Turn arriving;
    private final long connectedUs;
    /** When the request that is coming in began to; 0 where none is. */
    private long partSinceUs;
    /** When the last answer was written. */
    private long answeredUs;
    /** What has come in is handled in a later step of the loop. */
    private boolean handlesOn;
    /** Since when not all is read that the client may have sent; 0 where all is. */
    private long blindSinceUs;
    /** Nothing more is taken: the connection ends with the answers to what is open. */
    private boolean noMore;
    /** The connection ends with the request that is coming in, of which nothing is wanted any more. */
    private boolean endsWithRequest;
    private boolean writing;
    /** What came last could not be taken; there may be more of it, unread. */
    private boolean turnedDown;
    /** Its last answer is written. */
    private boolean ended;
    /** Its client has been told of its end and has not closed it yet. */
    private boolean lingers;

    ClientConnection(ClientServer server, Channel channel, long nowUs) {
        this.server = server;
        this.channel = channel;
        this.reader = new RequestReader(server.budget());
        this.ahead = new ReadAhead(server.budget());
        this.connectedUs = nowUs;
    }

    /** What stands between the socket and this. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new WriteTimeoutHandler(WRITE_TIMEOUT_S), decoder,
            new HttpResponseEncoder(), this};
    }

    /** Whether it may be closed for another: no request is open and none has begun to come in. */
    boolean isIdle() {
        return turns.isEmpty() && ahead.isEmpty() && partSinceUs == 0 && !noMore && !hasUnsent();
    }

    /** Whether some of an answer may not have arrived yet: closed now, it could be cut off. */
    boolean hasUnsent() {
        return channel.isActive() && (lingers || holdsUnsent());
    }

    /** Whether some of an answer has not been handed to the network yet. */
    private boolean holdsUnsent() {
        return channel.isActive()
                && channel.bytesBeforeUnwritable() < channel.config().getWriteBufferHighWaterMark();
    }

    boolean hasAsked() {
        return answeredUs > 0;
    }

    /** Since when it is idle. */
    long idleSinceUs() {
        return hasAsked() ? answeredUs : connectedUs;
    }

    /**
     * Ends a connection whose first request does not come, or on which one does not come to an end. Its time
     * runs from the start, however often a few bytes come.
     */
    void endIfStalled(long nowUs, long mostUnaskedUs, long mostIdleUs) {
        if (partSinceUs > 0) {
            long sinceUs = hasAsked() || !turns.isEmpty() && arriving == null ? partSinceUs : connectedUs;
            if (reader.isFull() || !ahead.isEmpty()) {
                pace.hold(nowUs);
            }
            if (pace.isOver(nowUs, sinceUs)) {
                server.say("a request did not come to an end");
                turnDown(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (isIdle() && nowUs - idleSinceUs() > (hasAsked() ? mostIdleUs : mostUnaskedUs)) {
            closeIfIdle();
        }
    }

    /** Closes it; it is a fault of this program where a request on it is owed its answer. */
    void close() {
        if (channel.isActive()) {
            turns.stream().filter(turn -> turn.stream == null && turn.owed() != null)
                    .forEach(turn -> server.proxy().guard().recordClosedUnanswered(turn.id));
        }
        channel.close();
    }

    /** Whether nothing is owed any more and only its client's end is waited for. */
    boolean lingers() {
        return lingers;
    }

    /** Whether it is idle still once all is read that has come in by now. */
    boolean isStillIdle() {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
        return isIdle();
    }

    /** Closes it unless a request has come that is not read yet: its client would have to send it again. */
    void closeIfIdle() {
        if (!isStillIdle()) {
            return;
        }
        if (hasAsked()) {
            noMore = true;
            linger();
        } else {
            close();
        }
    }

    /**
     * Ends its sending, and passes over what still comes until its client closes it too. Closed at once, a
     * reset would answer what comes, and take with it what has not arrived of the last answer.
     */
    private void linger() {
        if (!channel.isActive() || ((SocketChannel) channel).isInputShutdown()) {
            close();
            return;
        }
        ended = true;
        lingers = true;
        channel.pipeline().addFirst(new Drain());
        ((SocketChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(this::close, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Lets go of all that comes, up to its limit. */
    private final class Drain extends ChannelInboundHandlerAdapter {
        private int drained;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            drained += ((ByteBuf) bytes).readableBytes();
            ReferenceCountUtil.release(bytes);
            if (drained > MOST_LINGER_BYTES) {
                close();
            }
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.opened(this);
        ctx.fireChannelActive();
    }

    /**
     * Holds what has come in until all is read that has: a client that sent a request and left must not have
     * it sent on.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpRequest) {
            decoder.arrived();
        }
        if (noMore) {
            passOver(part);
            return;
        }
        ahead.add(part, server.nowUs());
        if (ahead.isFull()) {
            channel.config().setAutoRead(false);
            blindSinceUs = blindSinceUs == 0 ? server.nowUs() : blindSinceUs;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        seeIfAllIsRead();
        noteArrival();
        handleOn();
        ctx.fireChannelReadComplete();
    }

    private boolean isBlind() {
        return blindSinceUs > 0 && server.nowUs() - blindSinceUs > MOST_BLIND_US;
    }

    /** The rest of what came behind the last request is read, so that the client's end is seen. */
    private void passOver(HttpObject part) {
        if (endsWithRequest && part instanceof LastHttpContent) {
            close();
        }
    }

    /** Handles what has come in, in a later step: within this one it would go ever deeper. */
    private void handleOn() {
        if (!handlesOn) {
            handlesOn = true;
            channel.eventLoop().execute(() -> {
                handlesOn = false;
                handleSome();
            });
        }
    }

    /**
     * Guards the loop and the memory against a connection that sends on and on: no more than a few requests
     * are open or are handled in one step of the loop, and none is taken while answers are not.
     */
    private void handleSome() {
        int whole = 0;
        while (whole < MOST_PIPELINED && mayHandle() && !ahead.isEmpty()) {
            ReadAhead.Part next = ahead.poll();
            try {
                whole += next.part() instanceof LastHttpContent ? 1 : 0;
                handle(next.part(), next.atUs());
            } finally {
                ReferenceCountUtil.release(next.part());
            }
        }
        if (mayHandle() && !ahead.isEmpty()) {
            handleOn();
        }
        noteArrival();
        if (!ahead.isFull() && !noMore && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
            // A timer runs once the loop has read what there is; where nothing is, no read tells of it.
            channel.eventLoop().schedule(this::seeIfAllIsRead, 1, TimeUnit.MILLISECONDS);
        }
    }

    private void seeIfAllIsRead() {
        if (!ahead.isFull()) {
            blindSinceUs = 0;
        }
    }

    private boolean mayHandle() {
        return !noMore && turns.size() < MOST_PIPELINED + (arriving == null ? 0 : 1)
                && channel.isWritable() && !reader.isFull();
    }

    /** Takes no more: what is held, and all that still comes, is passed over. */
    private void takeNoMore() {
        noMore = true;
        while (!ahead.isEmpty()) {
            HttpObject part = ahead.poll().part();
            passOver(part);
            ReferenceCountUtil.release(part);
        }
        if (channel.isOpen() && !ended) {
            channel.config().setAutoRead(true);
        }
    }

    private void handle(HttpObject part, long atUs) {
        if (part instanceof HttpRequest && isBlind()) {
            server.say("more requests came at once than are read; their client may have left");
            turnDown(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        RequestReader.Incoming incoming;
        try {
            incoming = reader.read(part);
        } catch (RequestReader.Unreadable bad) {
            server.say("request refused with " + bad.status() + ": " + bad.getMessage());
            turnDown(bad.status());
            return;
        }
        if (part instanceof HttpRequest) {
            pace.begin();
            if (turns.isEmpty() && reader.isWaitedFor(part)) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (part instanceof HttpContent content) {
            pace.got(server.nowUs(), content.content().readableBytes());
        }
        if (incoming.body().isWhole()) {
            partSinceUs = 0;
            if (arriving == null) {
                begin(incoming, server.nowUs() - atUs);
            } else {
                Turn whole = arriving;
                arriving = null;
                if (!whole.keepAlive) {
                    takeNoMore();
                }
                server.proxy().whole(whole.id);
            }
        } else if (arriving == null && incoming.body().isLong()) {
            begin(incoming, 0);
        }
    }

    /** Takes a request that is whole, or too long to wait until it is. */
    private void begin(RequestReader.Incoming incoming, long waitedUs) {
        boolean whole = incoming.body().isWhole();
        Turn turn = new Turn(this, incoming.head(), incoming.body(), HttpUtil.isKeepAlive(incoming.head()));
        turns.add(turn);
        incoming.body().source(turn);
        arriving = whole ? null : turn;
        if (whole && !turn.keepAlive) {
            takeNoMore();
        }
        try {
            take(turn, incoming, waitedUs);
        } catch (RequestParser.BadRequest bad) {
            server.say("request refused with " + bad.status() + ": " + bad.getMessage());
            if (whole) {
                turn.answer(Answer.of(bad.status()));
            } else {
                turnDown(bad.status());
            }
        }
    }

    private void take(Turn turn, RequestReader.Incoming incoming, long waitedUs)
            throws RequestParser.BadRequest {
        if (incoming.head().method().equals(HttpMethod.GET) && incoming.head().uri().equals("/ready")) {
            turn.answer(Answer.of(server.isReady() ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
            return;
        }
        ProxyRequest request = server.parse(incoming, waitedUs);
        turn.id = request.id();
        if (!server.proxy().take(request, turn)) {
            // It is another's: nothing that becomes of this connection may touch it.
            turn.id = null;
            throw new RequestParser.BadRequest(HttpResponseStatus.BAD_REQUEST,
                    "X-Request-Id is already in use");
        }
    }

    /** Notes when a request began to come in that is not whole yet. */
    private void noteArrival() {
        if (noMore || !reader.holdsPart() && !decoder.holdsMore()) {
            partSinceUs = 0;
        } else if (partSinceUs == 0) {
            partSinceUs = server.nowUs();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        handleOn();
        Turn first = turns.peek();
        if (first != null && first.stream != null) {
            first.stream.writable();
        }
    }

    /** Answers what cannot be taken, after what came before it, and takes nothing behind it. */
    private void turnDown(HttpResponseStatus status) {
        turnedDown = true;
        takeNoMore();
        partSinceUs = 0;
        Turn turn = arriving;
        arriving = null;
        if (turn == null) {
            reader.drop();
            turn = new Turn(this, null, null, false);
            turns.add(turn);
        } else if (turn.owed() != null) {
            // It is not the request that its client meant, and must not run.
            server.proxy().clientGone(turn.id);
        }
        if (turn.stream != null) {
            turn.stream.broken();
        } else if (turn.answer == null) {
            turn.answer(Answer.of(status));
        }
    }

    /** Writes what is answered, up to the first request that is not. */
    private void writeAnswers() {
        if (writing) {
            return;
        }
        writing = true;
        boolean goesOn = true;
        while (goesOn && !turns.isEmpty()) {
            Turn turn = turns.peek();
            if (turn.answer != null) {
                turns.poll();
                write(turn.answer, keepsAlive(turn));
                turn.drop();
            } else if (turn.stream != null) {
                turn.stream.begin(keepsAlive(turn));
                goesOn = turn.stream.isWhole();
                if (goesOn) {
                    turns.poll();
                    answeredUs = server.nowUs();
                    ChannelFuture written = turn.stream.finish();
                    if (!turn.stream.keepsAlive()) {
                        end(written);
                    }
                    turn.drop();
                }
            } else {
                goesOn = false;
            }
        }
        writing = false;
        handleOn();
    }

    /**
     * Only the last of the requests that have been read may end the connection: its client would take those
     * behind it for taken, and they would be lost. One that is not all in must.
     */
    private boolean keepsAlive(Turn turn) {
        boolean last = ahead.isEmpty() && (turns.isEmpty() || turns.size() == 1 && turns.peek() == turn);
        return turn.keepAlive && turn != arriving
                && !(last && (turnedDown || server.answersEndConnections()));
    }

    private void write(Answer answer, boolean keepAlive) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                answer.status(), Unpooled.wrappedBuffer(answer.body()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (answer.retryAfter() != null) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, answer.retryAfter());
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        answeredUs = server.nowUs();
        ChannelFuture written = channel.writeAndFlush(response);
        if (!keepAlive) {
            end(written);
        }
    }

    /** Lets the answer arrive and then closes the connection, on which nothing more is read. */
    private void end(ChannelFuture written) {
        if (arriving != null) {
            // The rest of its request is read and let go: a reset could overtake the answer.
            arriving = null;
            endsWithRequest = true;
            partSinceUs = 0;
            channel.eventLoop().schedule(this::close, MOST_REST_MS, TimeUnit.MILLISECONDS);
            takeNoMore();
            return;
        }
        takeNoMore();
        ended = true;
        channel.config().setAutoRead(false);
        written.addListener(done -> {
            if (done.isSuccess()) {
                linger();
            } else {
                close();
            }
        });
    }

    /** No answer is owed any more for what is open here. */
    private void abandon() {
        List<Turn> left = List.copyOf(turns);
        turns.clear();
        arriving = null;
        for (Turn turn : left) {
            String owed = turn.owed();
            turn.drop();
            if (owed != null) {
                server.proxy().clientGone(owed);
            }
        }
        reader.drop();
        ahead.drop();
        partSinceUs = 0;
    }

    /** A client that ends its sending has gone; one that reads on is told that it gets nothing. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (lingers) {
                close();
            } else if (!(turnedDown && turns.isEmpty())) {
                fail();
            }
        }
    }

    private void fail() {
        boolean owed = turns.isEmpty() ? !ahead.isEmpty()
                : turns.peek().stream == null || !turns.peek().stream.isBegun();
        noMore = true;
        abandon();
        if (owed) {
            write(Answer.failed(), false);
        } else {
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        noMore = true;
        abandon();
        server.closed(this);
    }

    /** An error in here ends what this connection has out, and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.say("client connection: " + cause);
        if (turnedDown || lingers) {
            channel.close();
        } else {
            fail();
        }
    }
}
