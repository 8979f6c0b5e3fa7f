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
 * Puts a backend's answer to one request together and says what it counts as.
 *
 * <p>Guards against spoilt answers. Whatever is not plainly a whole answer counts as an error: the request
 * may have run, and the connection, which stands, says nothing against the backend.
 */
final class ResponseReader {

    /** A longer answer is passed on as it comes. */
    static final int MAX_BUFFERED_BYTES = 1 << 16;
    /** None is longer: what tells of more is spoilt. */
    static final long MAX_BODY_BYTES = RequestReader.MAX_BODY_BYTES;
    /** Interim answers before the final one; a backend that sends more will not come to an end. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private HttpResponse head;
    private int interimResponses;
    private boolean malformed;
    private boolean truncated;

    /** Takes the next part; gives the result once the answer is whole or spoilt, until then null. */
    Result read(HttpObject part) throws IOException {
        if (part instanceof HttpResponse response) {
            head = response;
        }
        malformed |= part.decoderResult().isFailure() || head == null || isUnacceptable(head);
        if (malformed) {
            return Result.without(Outcome.ERROR);
        }
        if (part instanceof HttpContent content) {
            content.content().readBytes(body, content.content().readableBytes());
            if (body.size() > MAX_BUFFERED_BYTES && !isOk()) {
                // Its status says it all, and nobody wants the rest.
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
            return malformed ? Result.without(Outcome.ERROR) : null;
        }
        return toResult();
    }

    /** Whether some of an answer is in that is too long to be held. */
    boolean exceedsBuffer() {
        return hasBodyBytes() && (contentLength() > MAX_BUFFERED_BYTES || body.size() > MAX_BUFFERED_BYTES);
    }

    /** Whether some of an answer is in that may turn out to be long. */
    boolean mayExceedBuffer() {
        return hasBodyBytes() && contentLength() < 0;
    }

    private boolean hasBodyBytes() {
        return head != null && isOk() && body.size() > 0;
    }

    private boolean isOk() {
        return head.status().equals(HttpResponseStatus.OK);
    }

    /** As told by its head, or -1. */
    long contentLength() {
        return HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
    }

    /** What is in of an answer that is passed on as it comes from now on. */
    byte[] takeBufferedBody() {
        byte[] bytes = body.toByteArray();
        body.reset();
        return bytes;
    }

    /** Whether the connection can carry another request after this answer. */
    boolean isKeepAlive() {
        return !malformed && !truncated && HttpUtil.isKeepAlive(head)
                && (contentLength() >= 0 || hasNoBody(head)
                || HttpUtil.isTransferEncodingChunked(head));
    }

    /** Whether nothing good can follow this head: nothing was asked that a change of protocol answers. */
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
        // Without the header a 503 or 504 may come from a tier behind, after the request ran.
        boolean notRun = (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                && "1".equals(head.headers().get("X-Not-Run"));
        // Guards the means to repeat: a caller's fault would be sent to one backend after the other.
        boolean clientError = status.codeClass() == HttpStatusClass.CLIENT_ERROR
                && !status.equals(HttpResponseStatus.REQUEST_TIMEOUT)
                && !status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
        Outcome failure = clientError ? Outcome.REJECTED : Outcome.ERROR;
        return new Result(notRun ? Outcome.FULL : failure, null, report);
    }
}
