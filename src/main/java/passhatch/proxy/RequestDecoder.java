package passhatch.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Netty's decoder of requests, which also tells whether a part of one is in. */
final class RequestDecoder extends HttpRequestDecoder {

    private static final int MOST_PART = 1 << 15;

    /** Heads of which the first line is in, and heads that were passed on and have arrived. */
    private long begun;
    private long arrived;

    /** A decoder that hands bodies on in parts as large as they are read. */
    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(MOST_PART));
    }

    /** Notes that the first line of a request is in: from now on bytes that came in are held elsewhere. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        begun++;
        return super.createMessage(initialLine);
    }

    /** A head that this decoder gave has arrived. */
    void arrived() {
        arrived++;
    }

    /** Whether bytes have come in of a request whose head has not arrived yet. */
    boolean holdsMore() {
        return actualReadableBytes() > 0 || begun > arrived;
    }
}
