package passhatch.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Netty's decoder of requests, which also tells whether a part of one is in. */
final class RequestDecoder extends HttpRequestDecoder {

    private static final int MAX_CHUNK_BYTES = 1 << 15;

    /** Heads of which the first line is in, and heads that were passed on and have arrived. */
    private long startedHeads;
    private long deliveredHeads;

    /** A decoder that hands bodies on in parts as large as they are read. */
    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Notes that the first line of a request is in: from now on bytes that came in are held elsewhere. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        startedHeads++;
        return super.createMessage(initialLine);
    }

    /** A head that this decoder gave has arrived. */
    void headDelivered() {
        deliveredHeads++;
    }

    /** Whether bytes have come in of a request whose head has not arrived yet. */
    boolean hasUndeliveredBytes() {
        return actualReadableBytes() > 0 || startedHeads > deliveredHeads;
    }
}
