package passhatch.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Assembles the requests of one client connection from decoded HTTP parts. Once a request is unreadable, the
 * start of the next one is unknown, so no further parts may be read.
 */
final class RequestReader {

    /** Maximum size of a body; a request with a larger one is rejected with status 413. */
    static final long MAX_BODY_BYTES = 32L << 20;

    private final MemorySource memory;
    /** The request that is being received; null if there is none. */
    private IncomingRequest current;
    private long receivedBodyBytes;

    /** Creates a reader whose request bodies reserve their memory from the source. */
    RequestReader(MemorySource memory) {
        this.memory = memory;
    }

    /** A request whose head has been received; its body may be incomplete. */
    record IncomingRequest(HttpRequest head, RequestBody body) { }

    /** Thrown for a request that cannot be read; carries the HTTP status to answer with. */
    static final class UnreadableRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        private UnreadableRequestException(HttpResponseStatus status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    /**
     * Reads the next part and returns the request that it belongs to.
     *
     * @throws UnreadableRequestException if the request is malformed, unsupported or too large, or if the
     *     memory for request bodies is exhausted
     */
    IncomingRequest read(HttpObject part) throws UnreadableRequestException {
        if (part.decoderResult().cause() instanceof SelectedHeaders.TooManyFieldsException tooMany) {
            throw new UnreadableRequestException(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    tooMany.getMessage());
        }
        if (part.decoderResult().isFailure()) {
            throw new UnreadableRequestException(HttpResponseStatus.BAD_REQUEST, "malformed HTTP request");
        }
        if (part instanceof HttpRequest request) {
            checkHead(request);
            current = new IncomingRequest(request,
                    new RequestBody(memory, HttpUtil.getContentLength(request, -1L)));
            receivedBodyBytes = 0;
        }
        IncomingRequest incoming = current;
        if (part instanceof HttpContent content) {
            receivedBodyBytes += content.content().readableBytes();
            if (receivedBodyBytes > MAX_BODY_BYTES) {
                throw bodyTooLarge();
            }
            if (!incoming.body().add(content.content())) {
                throw new UnreadableRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "the memory for request bodies is exhausted");
            }
        }
        if (part instanceof LastHttpContent) {
            current = null;
            incoming.body().end();
        }
        return incoming;
    }

    /** Whether the part is a request head whose client waits for status 100 before it sends the body. */
    boolean isAwaitingContinue(HttpObject part) {
        return current != null && part == current.head() && HttpUtil.is100ContinueExpected(current.head());
    }

    /** Whether a request has been received in part. */
    boolean hasIncompleteRequest() {
        return current != null;
    }

    /** Whether buffered bytes of the body must be forwarded before more may be read. */
    boolean isBodyFull() {
        return current != null && current.body().mustPauseReading();
    }

    /** Releases the buffers of an incomplete request. */
    void discardIncomplete() {
        if (current != null) {
            current.body().drop();
        }
    }

    /**
     * Rejects heads whose framing is ambiguous, as they could be used to smuggle another request past the
     * proxy. Netty's decoder already rejects a Content-Length beside a Transfer-Encoding, differing lengths
     * and codings that do not end in "chunked". Other codings are rejected here, as a backend might not
     * decode them.
     */
    private static void checkHead(HttpRequest request) throws UnreadableRequestException {
        List<String> transferCodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (request.protocolVersion().majorVersion() != 1 || transferCodings.size() > 1
                || transferCodings.size() == 1
                && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0))) {
            throw new UnreadableRequestException(HttpResponseStatus.BAD_REQUEST,
                    "unsupported HTTP version or transfer coding");
        }
        if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
            throw bodyTooLarge();
        }
        if (request.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(request)) {
            throw new UnreadableRequestException(HttpResponseStatus.EXPECTATION_FAILED,
                    "unsupported Expect header");
        }
    }

    private static UnreadableRequestException bodyTooLarge() {
        return new UnreadableRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the request body is larger than 32 MiB");
    }
}
