package passhatch.proxy;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** A request of a client connection until its response is written. Used by the event loop only. */
final class PipelinedRequest implements ProxyLoop.Responder, RequestBody.Source, ResponseStream.Owner {

    private final ClientConnection connection;
    private final HttpVersion version;
    private final RequestBody body;
    private final boolean keepAlive;
    /** Bytes of its connection's account that its path, id and key take. */
    private int reservedBytes;
    /** The request's id; null if the proxy does not process the request, as for {@code /ready}. */
    private String activeId;
    /** The complete response; null until there is one, or if it is streamed. */
    private ProxyResponse response;
    /** The response, if it is forwarded while it is received from the backend; null otherwise. */
    private ResponseStream responseStream;

    /**
     * Creates a request without a response.
     *
     * @param version version of HTTP that the client used; null if the request could not be read
     * @param body body of the request; null if the request could not be read
     * @param keepAlive whether the client wants to use the connection further
     */
    PipelinedRequest(ClientConnection connection, HttpVersion version, RequestBody body, boolean keepAlive) {
        this.connection = connection;
        this.version = version;
        this.body = body;
        this.keepAlive = keepAlive;
    }

    @Override
    public void respond(ProxyResponse finalResponse) {
        response = finalResponse;
        connection.transferBudget().hold(finalResponse.body().length);
        connection.writeResponses();
    }

    @Override
    public BackendPool.ResponseSink startStream(long length, Runnable readOn) {
        responseStream = new ResponseStream(connection.channel(), version, length, readOn, this,
                connection.transferBudget());
        connection.writeResponses();
        return responseStream;
    }

    @Override
    public void streamCompleted() {
        connection.writeResponses();
    }

    @Override
    public void streamFailedBeforeStart() {
        responseStream = null;
        respond(ProxyResponse.failed());
    }

    @Override
    public void streamFailed() {
        connection.abort();
    }

    @Override
    public ClientPresence.Status clientStatus() {
        return connection.clientStatus();
    }

    @Override
    public String describeClient() {
        return connection.describeClient();
    }

    @Override
    public void abort() {
        connection.abort();
    }

    @Override
    public void resumeReading() {
        connection.scheduleHandling();
    }

    @Override
    public void bodyDiscarded() {
        if (activeId != null) {
            connection.proxy().bodyDiscarded(activeId);
        }
    }

    /** The request's id; null if the proxy does not process the request. */
    String activeId() {
        return activeId;
    }

    void setActiveId(String id) {
        activeId = id;
    }

    /** The id of the request if the proxy still owes its response; null otherwise. */
    String unansweredId() {
        return response == null && (responseStream == null || !responseStream.isEnded()) ? activeId : null;
    }

    /** Whether the client wants to use the connection further. */
    boolean isKeepAlive() {
        return keepAlive;
    }

    /** The complete response; null until there is one, or if it is streamed. */
    ProxyResponse response() {
        return response;
    }

    /** Whether the response is forwarded while it is received from the backend. */
    boolean isStreamed() {
        return responseStream != null;
    }

    /** Whether a streamed response has begun to be written. */
    boolean hasStartedStream() {
        return responseStream != null && responseStream.isStarted();
    }

    /** The streamed response; null if the response is not streamed. */
    ResponseStream responseStream() {
        return responseStream;
    }

    /** Counts what is kept of its head until it is answered; false if there is no memory for it. */
    boolean reserveHead(HttpRequest head) {
        int headBytes = ReadAheadBuffer.estimatedHeadBytes(head);
        if (!connection.memory().reserve(headBytes)) {
            return false;
        }
        reservedBytes += headBytes;
        return true;
    }

    /** Releases the memory of the request's head and body and of a streamed response. */
    void releaseBuffers() {
        connection.memory().release(reservedBytes);
        reservedBytes = 0;
        if (body != null) {
            body.drop();
        }
        if (responseStream != null) {
            responseStream.release();
        }
    }

    /** Gives up the response if it was not written. */
    void dropResponse() {
        if (response != null) {
            connection.transferBudget().release(response.body().length);
        }
    }
}
