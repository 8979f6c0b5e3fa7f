package passhatch.proxy;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Maps requests to the console to operations; see docs/console.md. */
final class ConsoleRoutes {

    private static final String CONTROL_PREFIX = "/control/";
    private static final String BACKENDS_PREFIX = "backends/";

    /** The operations that operators can request. They are called, and call back, on the event loop. */
    interface Operations {
        /** Whether this process can serve clients. */
        boolean isReady();

        /** The metrics, one per line. */
        String counters();

        /** Whether a list of discovery ever contained the backend. */
        boolean isKnown(String backend);

        /**
         * Disables a backend, or enables it again.
         *
         * @param onDone receives true once the change is in effect, or false if it failed
         */
        void setDisabled(String backend, boolean disabled, Consumer<Boolean> onDone);

        /**
         * Takes the proxy out of service, or returns it to service.
         *
         * @param onDone receives true once the change is in effect, or false if it failed
         */
        void setOutOfService(boolean outOfService, Consumer<Boolean> onDone);
    }

    /**
     * A response of the console.
     *
     * @param text the body
     * @param allowedMethod the method that the path accepts, with status 405; null with any other status
     */
    record Response(HttpResponseStatus status, String text, HttpMethod allowedMethod) {
        static Response of(HttpResponseStatus status) {
            return new Response(status, status.reasonPhrase() + "\n", null);
        }
    }

    private final Operations operations;

    ConsoleRoutes(Operations operations) {
        this.operations = operations;
    }

    /** Carries out a request and responds exactly once, immediately or later on the event loop. */
    void handle(HttpMethod method, String uri, Consumer<Response> respond) {
        String path;
        try {
            path = new QueryStringDecoder(uri).rawPath();
        } catch (IllegalArgumentException e) {
            respond.accept(Response.of(HttpResponseStatus.BAD_REQUEST));
            return;
        }
        String operation = path.startsWith(CONTROL_PREFIX) ? path.substring(CONTROL_PREFIX.length()) : "";
        switch (operation) {
            case "ready" -> handleRead(method, respond,
                    () -> Response.of(operations.isReady() ? HttpResponseStatus.OK
                            : HttpResponseStatus.SERVICE_UNAVAILABLE));
            case "counters" -> handleRead(method, respond,
                    () -> new Response(HttpResponseStatus.OK, operations.counters(), null));
            case "out-of-service" -> handleChange(method, respond,
                    onDone -> operations.setOutOfService(true, onDone));
            case "in-service" -> handleChange(method, respond,
                    onDone -> operations.setOutOfService(false, onDone));
            default -> {
                if (operation.startsWith(BACKENDS_PREFIX)) {
                    handleBackend(method, operation.substring(BACKENDS_PREFIX.length()), respond);
                } else {
                    respond.accept(Response.of(HttpResponseStatus.NOT_FOUND));
                }
            }
        }
    }

    /** Handles a request on one backend, such as {@code s-5be2a07c/offline}; the id is percent-encoded. */
    private void handleBackend(HttpMethod method, String idAndAction, Consumer<Response> respond) {
        int slash = idAndAction.indexOf('/');
        String action = idAndAction.substring(slash + 1);
        boolean disable = action.equals("offline");
        if (slash < 1 || !disable && !action.equals("online")) {
            respond.accept(Response.of(HttpResponseStatus.NOT_FOUND));
            return;
        }
        String id;
        try {
            id = new QueryStringDecoder(idAndAction.substring(0, slash), StandardCharsets.UTF_8, true).path();
        } catch (IllegalArgumentException e) {
            respond.accept(Response.of(HttpResponseStatus.BAD_REQUEST));
            return;
        }
        if (method.equals(HttpMethod.POST) && !operations.isKnown(id)) {
            respond.accept(new Response(HttpResponseStatus.NOT_FOUND, "no such backend was ever listed\n",
                    null));
            return;
        }
        handleChange(method, respond, onDone -> operations.setDisabled(id, disable, onDone));
    }

    private static void handleRead(HttpMethod method, Consumer<Response> respond,
            Supplier<Response> response) {
        respond.accept(method.equals(HttpMethod.GET) ? response.get()
                : new Response(HttpResponseStatus.METHOD_NOT_ALLOWED, "", HttpMethod.GET));
    }

    private static void handleChange(HttpMethod method, Consumer<Response> respond,
            Consumer<Consumer<Boolean>> change) {
        if (!method.equals(HttpMethod.POST)) {
            respond.accept(new Response(HttpResponseStatus.METHOD_NOT_ALLOWED, "", HttpMethod.POST));
            return;
        }
        change.accept(applied -> respond.accept(Response.of(applied ? HttpResponseStatus.OK
                : HttpResponseStatus.SERVICE_UNAVAILABLE)));
    }
}
