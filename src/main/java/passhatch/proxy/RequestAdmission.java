package passhatch.proxy;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Decides whether a request that a client has sent is passed to the proxy. Used by the event loop only. */
final class RequestAdmission {

    private final ClientServer server;

    RequestAdmission(ClientServer server) {
        this.server = server;
    }

    /**
     * Answers {@code /ready}, and passes any other request to the proxy.
     *
     * @param receivedAtUs when its last part was received, in microseconds
     * @throws RequestParser.InvalidRequestException if it is not taken
     */
    void admit(PipelinedRequest request, RequestReader.IncomingRequest incoming,
            long receivedAtUs) throws RequestParser.InvalidRequestException {
        if (incoming.head().method().equals(HttpMethod.GET) && incoming.head().uri().equals("/ready")) {
            request.respond(ProxyResponse.withStatus(server.isReady() ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
            return;
        }
        ProxyRequest proxyRequest = server.parse(incoming, receivedAtUs);
        if (server.memory().transfer().isExhausted()) {
            server.proxy().refuseForMemory(proxyRequest);
            throw new RequestParser.InvalidRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "the memory for responses and streamed bodies is exhausted");
        }
        if (!request.reserveHead(incoming.head())) {
            server.proxy().refuseForMemory(proxyRequest);
            throw new RequestParser.InvalidRequestException(HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "the memory for open requests is exhausted");
        }
        if (server.proxy().mayHaveRunBefore(proxyRequest)) {
            throw new RequestParser.InvalidRequestException(HttpResponseStatus.CONFLICT,
                    "a request with its X-Request-Id may have run");
        }
        request.setActiveId(proxyRequest.id());
        if (!server.proxy().accept(proxyRequest, request)) {
            // The id belongs to another request, which must not be affected by events of this connection.
            request.setActiveId(null);
            throw new RequestParser.InvalidRequestException(HttpResponseStatus.BAD_REQUEST,
                    "X-Request-Id is already in use");
        }
    }
}
