package passhatch.proxy;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import passhatch.Balancer.Outcome;
import passhatch.proxy.BackendPool.Result;

/**
 * Assembles a backend's response to one request from the decoder's parts and determines its outcome.
 *
 * <p>A response that is malformed counts as {@link Outcome#ERROR}: the request may have run, and as the
 * connection was not lost, it is not counted as a connection failure of the backend.
 */
final class ResponseReader {

    /** Bytes of a body that are buffered. A 200 response with a longer body is streamed. */
    static final int MAX_BUFFERED_BYTES = 1 << 16;
    /** Largest body in bytes. A response that declares a longer one is malformed. */
    static final long MAX_BODY_BYTES = RequestReader.MAX_BODY_BYTES;
    /** Interim (1xx) responses before the final one; a backend that sends more would never end. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private HttpResponse head;
    private int interimResponses;
    private boolean malformed;
    /** Whether the result was given before the end of the response. */
    private boolean truncated;

    /** Reads the next part. Returns the result once the response is complete or malformed, else null. */
    Result read(HttpObject part) throws IOException {
        if (part instanceof HttpResponse response) {
            head = response;
        }
        malformed |= part.decoderResult().isFailure() || head == null || isUnacceptable(head);
        if (malformed) {
            return Result.withoutBody(Outcome.ERROR);
        }
        if (part instanceof HttpContent content) {
            content.content().readBytes(body, content.content().readableBytes());
            if (body.size() > MAX_BUFFERED_BYTES && !isOk()) {
                // The status determines the outcome, and the body of an error response is not forwarded.
                truncated = true;
                return toResult();
            }
        }
        if (!(part instanceof LastHttpContent)) {
            return null;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            malformed = ++interimResponses > MAX_INTERIM_RESPONSES;
            head = null;
            return malformed ? Result.withoutBody(Outcome.ERROR) : null;
        }
        return toResult();
    }

    /** Whether part of the body of a 200 response has arrived that is known to be too long to buffer. */
    boolean exceedsBuffer() {
        return hasBodyBytes() && (contentLength() > MAX_BUFFERED_BYTES || body.size() > MAX_BUFFERED_BYTES);
    }

    /** Whether part of the body of a 200 response of unknown length has arrived. */
    boolean mayExceedBuffer() {
        return hasBodyBytes() && contentLength() < 0;
    }

    /** Whether part of the body of a 200 response is buffered. */
    private boolean hasBodyBytes() {
        return head != null && isOk() && body.size() > 0;
    }

    private boolean isOk() {
        return head.status().equals(HttpResponseStatus.OK);
    }

    /** Length of the body in bytes according to the head, or -1 if it is not known. */
    long contentLength() {
        return HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
    }

    /** Removes and returns the buffered part of the body, when the response is streamed from now on. */
    byte[] takeBufferedBody() {
        byte[] bytes = body.toByteArray();
        body.reset();
        return bytes;
    }

    /** Whether the connection can be reused for another request after this response. */
    boolean isKeepAlive() {
        return !malformed && !truncated && HttpUtil.isKeepAlive(head)
                && (contentLength() >= 0 || hasNoBody(head)
                || HttpUtil.isTransferEncodingChunked(head));
    }

    /**
     * Whether the head makes the response malformed: another major version of HTTP, a body that is too large,
     * or a switch of protocols, which no request asks for.
     */
    private static boolean isUnacceptable(HttpResponse head) {
        return head.protocolVersion().majorVersion() != 1
                || HttpUtil.getContentLength(head, 0L) > MAX_BODY_BYTES
                || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    private static boolean hasNoBody(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private Result toResult() {
        HttpResponseStatus status = head.status();
        var report = LoadReportParser.parse(head.headers().get("X-Load"));
        if (status.equals(HttpResponseStatus.OK)) {
            return new Result(Outcome.OK, body.toByteArray(), report);
        }
        // Without this header a 503 or 504 may come from a tier behind the backend, after the request ran.
        boolean notRun = (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                && "1".equals(head.headers().get("X-Not-Run"));
        // A request that is itself invalid would fail on one backend after the other and use up the retry
        // budget, so a client error is a separate outcome.
        boolean clientError = status.codeClass() == HttpStatusClass.CLIENT_ERROR
                && !status.equals(HttpResponseStatus.REQUEST_TIMEOUT)
                && !status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
        Outcome failure = clientError ? Outcome.REJECTED : Outcome.ERROR;
        return new Result(notRun ? Outcome.FULL : failure, null, report);
    }
}
