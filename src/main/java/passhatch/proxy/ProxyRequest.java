package passhatch.proxy;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A caller's request.
 *
 * @param requestClass its class, by position in the settings
 * @param tenant its tenant, by position
 * @param timeLeftUs until its client gives up, from now or from its last byte on; may be negative
 * @param expectedWorkUs a guess at its work; 0 where there is none
 * @param clientRetry true where the client says that it tries again
 * @param uri path and query, to go on unchanged
 * @param idempotencyKey the key of a keyed request, or null
 * @param body may still be coming in
 */
record ProxyRequest(String id, int requestClass, int tenant, long timeLeftUs, long expectedWorkUs,
        boolean clientRetry,
        HttpMethod method, String uri, String idempotencyKey, RequestBody body) { }
