package passhatch.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.math.BigDecimal;

/**
 * A final answer.
 *
 * @param retryAfter the value of Retry-After, or null
 */
record ProxyResponse(HttpResponseStatus status, String retryAfter, byte[] body) {

    private static final byte[] NO_BODY = {};

    static ProxyResponse ok(byte[] body) {
        return new ProxyResponse(HttpResponseStatus.OK, null, body);
    }

    /** Promises that trying again is harmless. */
    static ProxyResponse refused(long retryAfterUs) {
        String seconds = retryAfterUs <= 0 ? null
                : BigDecimal.valueOf(retryAfterUs, 6).stripTrailingZeros().toPlainString();
        return new ProxyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, seconds, NO_BODY);
    }

    /** Promises nothing. */
    static ProxyResponse failed() {
        return new ProxyResponse(HttpResponseStatus.BAD_GATEWAY, null, NO_BODY);
    }

    /** What it counts as. */
    Figures.End category() {
        return status.equals(HttpResponseStatus.OK) ? Figures.End.SUCCESS
                : status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Figures.End.OVERLOAD
                : Figures.End.ERROR;
    }

    static ProxyResponse withStatus(HttpResponseStatus status) {
        return new ProxyResponse(status, null, NO_BODY);
    }
}
