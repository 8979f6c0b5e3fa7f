package passhatch.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;

/**
 * A complete final response to a client.
 *
 * @param retryAfter value of the Retry-After header in seconds, possibly with a fraction, or null
 */
record ProxyResponse(HttpResponseStatus status, String retryAfter, byte[] body) {

    private static final byte[] NO_BODY = {};

    /** A 200 response. */
    static ProxyResponse ok(byte[] body) {
        return new ProxyResponse(HttpResponseStatus.OK, null, body);
    }

    /**
     * A 503 response, which guarantees that the request did not run and so may safely be sent again.
     *
     * @param retryAfterUs when to send it again, from now; no Retry-After header if it is not positive
     */
    static ProxyResponse refused(long retryAfterUs) {
        String seconds = retryAfterUs <= 0 ? null
                : BigDecimal.valueOf(retryAfterUs, 6).stripTrailingZeros().toPlainString();
        return new ProxyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, seconds, NO_BODY);
    }

    /** A 502 response, which does not tell whether the request ran. */
    static ProxyResponse failed() {
        return new ProxyResponse(HttpResponseStatus.BAD_GATEWAY, null, NO_BODY);
    }

    /** The category under which metrics count it. */
    Metrics.RequestResult category() {
        return status.equals(HttpResponseStatus.OK) ? Metrics.RequestResult.SUCCESS
                : status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Metrics.RequestResult.OVERLOAD
                : Metrics.RequestResult.ERROR;
    }

    /** A response without a body. */
    static ProxyResponse withStatus(HttpResponseStatus status) {
        return new ProxyResponse(status, null, NO_BODY);
    }
}
