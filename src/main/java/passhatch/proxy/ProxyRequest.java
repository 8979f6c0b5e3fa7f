package passhatch.proxy;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request with its validated headers.
 *
 * @param id the value of X-Request-Id
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings; the number of tenants if it names none
 * @param timeLeftUs microseconds until its client gives up, counted from now or, if the body is still
 *     incomplete, from its last byte; may be negative
 * @param expectedWorkUs the client's estimate of the work, in microseconds; 0 if it gave none
 * @param clientRetry true if the client marked the request as a retry
 * @param uri path and query, forwarded unchanged
 * @param idempotencyKey the value of Idempotency-Key; null if the request has none
 * @param body the body, possibly still incomplete
 */
record ProxyRequest(String id, int requestClass, int tenant, long timeLeftUs, long expectedWorkUs,
        boolean clientRetry,
        HttpMethod method, String uri, String idempotencyKey, RequestBody body) { }
