package passhatch.proxy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** The messages that are sent to backends. */
final class BackendMessages {

    private BackendMessages() { }

    /**
     * The complete message of an attempt, or only its head if the body is streamed after it.
     *
     * @param timeLeftUs the time that the server is given, in microseconds
     */
    static HttpRequest forAttempt(ProxyRequest request, long timeLeftUs) {
        RequestBody body = request.body();
        boolean fullyBuffered = body.isComplete() && !body.exceedsBuffer();
        HttpRequest message = fullyBuffered
                ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
                        Unpooled.wrappedBuffer(body.bufferedContent()))
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        message.headers().set(HttpHeaderNames.HOST, "backend").set("X-Request-Id", request.id())
                .set("X-Deadline", Math.max(1, timeLeftUs) + "u");
        if (request.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", request.idempotencyKey());
        }
        long contentLength = fullyBuffered ? body.bufferedBytes() : body.declaredLength();
        if (contentLength < 0) {
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (!request.method().equals(HttpMethod.GET) || contentLength > 0) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        }
        return message;
    }

    /** A request for the load of a server. */
    static FullHttpRequest forProbe() {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/status/load");
        message.headers().set(HttpHeaderNames.HOST, "backend");
        return message;
    }
}
