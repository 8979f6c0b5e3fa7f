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
 * Puts a caller's requests together from what the decoder makes of the bytes. Once one cannot be taken it is
 * not known where the next begins, so nothing more may be read then.
 */
final class RequestReader {

    /** Larger bodies are turned down. */
    static final long MAX_BODY_BYTES = 32L << 20;

    private final BodyBudget budget;
    private IncomingRequest current;
    private long receivedBodyBytes;

    RequestReader(BodyBudget budget) {
        this.budget = budget;
    }

    /** A request of which the head is in. */
    record IncomingRequest(HttpRequest head, RequestBody body) { }

    /** A request that cannot be taken, and the status that says so. */
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

    /** Takes the next part and gives the request that it belongs to. */
    IncomingRequest read(HttpObject part) throws UnreadableRequestException {
        if (part.decoderResult().isFailure()) {
            throw new UnreadableRequestException(HttpResponseStatus.BAD_REQUEST, "the request is not HTTP");
        }
        if (part instanceof HttpRequest request) {
            checkHead(request);
            current = new IncomingRequest(request,
                    new RequestBody(budget, HttpUtil.getContentLength(request, -1L)));
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
                        "too many bytes are held");
            }
        }
        if (part instanceof LastHttpContent) {
            current = null;
            incoming.body().end();
        }
        return incoming;
    }

    /** The head of a request has come whose body waits for leave to be sent. */
    boolean isAwaitingContinue(HttpObject part) {
        return current != null && part == current.head() && HttpUtil.is100ContinueExpected(current.head());
    }

    /** Whether part of a request is in. */
    boolean hasIncompleteRequest() {
        return current != null;
    }

    /** Whether what is in must go on before more may be read. */
    boolean isBodyFull() {
        return current != null && current.body().isFull();
    }

    /** Gives back what an unfinished request holds. */
    void discardIncomplete() {
        if (current != null) {
            current.body().drop();
        }
    }

    /**
     * Guards against a request that hides another. The decoder turns down a length beside a transfer coding,
     * lengths that differ and a coding that does not end in chunks; others may be undone by no one behind.
     */
    private static void checkHead(HttpRequest request) throws UnreadableRequestException {
        List<String> transferCodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (request.protocolVersion().majorVersion() != 1 || transferCodings.size() > 1
                || transferCodings.size() == 1
                && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0))) {
            throw new UnreadableRequestException(HttpResponseStatus.BAD_REQUEST,
                    "the version or transfer coding is not known");
        }
        if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
            throw bodyTooLarge();
        }
        if (request.headers().contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(request)) {
            throw new UnreadableRequestException(HttpResponseStatus.EXPECTATION_FAILED,
                    "the expectation is not known");
        }
    }

    private static UnreadableRequestException bodyTooLarge() {
        return new UnreadableRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is too large");
    }
}
