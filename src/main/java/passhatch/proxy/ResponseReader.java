package passhatch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Arrays;
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
    /** The same while the budget is scarce: buffers must leave room for what new requests need. */
    private static final int MAX_SCARCE_BUFFERED_BYTES = 1 << 12;
    /** Largest body in bytes. A response that declares a longer one is malformed. */
    static final long MAX_BODY_BYTES = RequestReader.MAX_BODY_BYTES;
    /** Interim (1xx) responses before the final one; a backend that sends more would never end. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final int INITIAL_CAPACITY_BYTES = 1 << 9;
    private static final byte[] NO_BYTES = {};

    private final MemoryBudget budget;
    /** The buffered part of the body of a 200 response; other bodies are only counted. */
    private byte[] buffer = NO_BYTES;
    /** Bytes of the budget that the buffer takes, which is its capacity. */
    private int budgetedBytes;
    /** Bytes of the body that were received. */
    private int bodyBytes;
    /** Whether the budget did not suffice for the buffer, so that the response has to be streamed. */
    private boolean budgetExceeded;
    private HttpResponse head;
    private int interimResponses;
    private boolean malformed;
    /** Whether the result was given before the end of the response. */
    private boolean truncated;

    /** Creates a reader that buffers bodies at the expense of the budget. */
    ResponseReader(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Reads the next part. Returns the result once the response is complete or malformed, else null. */
    Result read(HttpObject part) {
        if (part instanceof HttpResponse response) {
            head = response;
        }
        malformed |= part.decoderResult().isFailure() || head == null || isUnacceptable(head);
        if (malformed) {
            return Result.withoutBody(Outcome.ERROR);
        }
        if (part instanceof HttpContent content) {
            append(content.content());
            if (bodyBytes > MAX_BUFFERED_BYTES && !isOk()) {
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

    private void append(ByteBuf bytes) {
        int addedBytes = bytes.readableBytes();
        if (isOk()) {
            ensureCapacity(bodyBytes + addedBytes);
            bytes.readBytes(buffer, bodyBytes, addedBytes);
        }
        bodyBytes += addedBytes;
    }

    private void ensureCapacity(int neededBytes) {
        if (neededBytes <= buffer.length) {
            return;
        }
        int doubledBytes = Math.min(MAX_BUFFERED_BYTES, Math.max(INITIAL_CAPACITY_BYTES, buffer.length * 2));
        int capacityBytes = Math.max(neededBytes, doubledBytes);
        boolean mayBuffer = neededBytes <= MAX_SCARCE_BUFFERED_BYTES || !budget.isScarce();
        if (!mayBuffer || !budget.reserve(capacityBytes - budgetedBytes)) {
            budgetExceeded = true;
            budget.hold(capacityBytes - budgetedBytes);
        }
        budgetedBytes = capacityBytes;
        buffer = Arrays.copyOf(buffer, capacityBytes);
    }

    /** Gives the buffer up, as the response is complete or of no more interest. */
    void releaseBuffer() {
        budget.release(budgetedBytes);
        budgetedBytes = 0;
        buffer = NO_BYTES;
        bodyBytes = 0;
    }

    /**
     * Whether part of the body of a 200 response has arrived that is known to be too long to buffer, or that
     * the memory budget does not allow to be buffered.
     */
    boolean exceedsBuffer() {
        return hasBodyBytes() && (budgetExceeded || contentLength() > MAX_BUFFERED_BYTES
                || bodyBytes > MAX_BUFFERED_BYTES);
    }

    /** Whether the head of a 200 response says that it is too long to buffer; none of it may have arrived. */
    boolean isKnownToBeLong() {
        return head != null && isOk() && contentLength() > MAX_BUFFERED_BYTES;
    }

    /** Whether part of the body of a 200 response of unknown length has arrived. */
    boolean mayExceedBuffer() {
        return hasBodyBytes() && contentLength() < 0;
    }

    /** Whether part of the body of a 200 response is buffered. */
    private boolean hasBodyBytes() {
        return head != null && isOk() && bodyBytes > 0;
    }

    private boolean isOk() {
        return head.status().equals(HttpResponseStatus.OK);
    }

    /** Length of the body in bytes according to the head, or -1 if it is not known. */
    long contentLength() {
        return HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
    }

    /** Removes and returns the buffered part of the body, when the response is streamed from now on. */
    ByteBuf takeBufferedBody() {
        ByteBuf bytes = Unpooled.wrappedBuffer(buffer, 0, bodyBytes);
        releaseBuffer();
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
            return new Result(Outcome.OK, Arrays.copyOf(buffer, bodyBytes), report);
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
