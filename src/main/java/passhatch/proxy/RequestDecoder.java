package passhatch.proxy;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Netty's HTTP request decoder, extended to tell whether it holds part of a request. */
final class RequestDecoder extends HttpRequestDecoder {

    /** Maximum size of a piece of a body that is passed on. */
    private static final int MAX_CHUNK_BYTES = 1 << 15;

    /** Number of request heads whose first line has been decoded. */
    private long startedHeads;
    /** Number of request heads that the next handler has received. */
    private long deliveredHeads;

    /** Creates a decoder that passes bodies on in pieces as large as they are read, up to its maximum. */
    RequestDecoder() {
        super(SelectedHeaders.decoderConfig("X-Request-Id", "X-Tenant", "X-Deadline", "X-Retry",
                "X-Cost-Hint", "Idempotency-Key").setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /**
     * Counts a request whose first line has been decoded: from now on Netty keeps the head outside the
     * decoder's buffer, so the number of buffered bytes no longer shows it.
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        startedHeads++;
        return super.createMessage(initialLine);
    }

    /** Tells the decoder that the next handler has received a request head. */
    void headDelivered() {
        deliveredHeads++;
    }

    /** Whether the decoder holds bytes of a request whose head the next handler has not received yet. */
    boolean hasUndeliveredBytes() {
        return actualReadableBytes() > 0 || startedHeads > deliveredHeads;
    }
}
