package passhatch.proxy;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Which call of the console does what; see docs/console.md. */
final class ConsoleRoutes {

    private static final String CONTROL = "/control/";
    private static final String BACKENDS = "backends/";

    /** What staff can have done; everything happens on the loop. */
    interface Operations {
        /** Whether this process can serve. */
        boolean ready();

        String counters();

        boolean knows(String backend);

        /** Takes a backend out, or back; then says whether that holds from now on. */
        void setOut(String backend, boolean out, Consumer<Boolean> done);

        /** Takes the proxy out of service, or back; then says whether that holds from now on. */
        void setOutOfService(boolean out, Consumer<Boolean> done);
    }

    /** An answer of the console: a status, a text and, with 405, the method that the path takes. */
    record Reply(HttpResponseStatus status, String text, HttpMethod allowed) {
        static Reply of(HttpResponseStatus status) {
            return new Reply(status, status.reasonPhrase() + "\n", null);
        }
    }

    private final Operations operations;

    ConsoleRoutes(Operations operations) {
        this.operations = operations;
    }

    /** Does what is asked, and replies once, at once or later. */
    void call(HttpMethod method, String uri, Consumer<Reply> reply) {
        String path;
        try {
            path = new QueryStringDecoder(uri).rawPath();
        } catch (IllegalArgumentException bad) {
            reply.accept(Reply.of(HttpResponseStatus.BAD_REQUEST));
            return;
        }
        String name = path.startsWith(CONTROL) ? path.substring(CONTROL.length()) : "";
        switch (name) {
            case "ready" -> read(method, reply, () -> Reply.of(operations.ready() ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE));
            case "counters" -> read(method, reply,
                    () -> new Reply(HttpResponseStatus.OK, operations.counters(), null));
            case "out-of-service" -> change(method, reply, done -> operations.setOutOfService(true, done));
            case "in-service" -> change(method, reply, done -> operations.setOutOfService(false, done));
            default -> {
                if (name.startsWith(BACKENDS)) {
                    backend(method, name.substring(BACKENDS.length()), reply);
                } else {
                    reply.accept(Reply.of(HttpResponseStatus.NOT_FOUND));
                }
            }
        }
    }

    /** The call on one backend, such as {@code s-5be2a07c/offline}; the id is percent-encoded. */
    private void backend(HttpMethod method, String rest, Consumer<Reply> reply) {
        int slash = rest.indexOf('/');
        String verb = rest.substring(slash + 1);
        boolean out = verb.equals("offline");
        if (slash < 1 || !out && !verb.equals("online")) {
            reply.accept(Reply.of(HttpResponseStatus.NOT_FOUND));
            return;
        }
        String id;
        try {
            id = new QueryStringDecoder(rest.substring(0, slash), StandardCharsets.UTF_8, true).path();
        } catch (IllegalArgumentException bad) {
            reply.accept(Reply.of(HttpResponseStatus.BAD_REQUEST));
            return;
        }
        if (method.equals(HttpMethod.POST) && !operations.knows(id)) {
            reply.accept(new Reply(HttpResponseStatus.NOT_FOUND, "no such backend was ever listed\n", null));
            return;
        }
        change(method, reply, done -> operations.setOut(id, out, done));
    }

    private static void read(HttpMethod method, Consumer<Reply> reply, Supplier<Reply> get) {
        reply.accept(method.equals(HttpMethod.GET) ? get.get()
                : new Reply(HttpResponseStatus.METHOD_NOT_ALLOWED, "", HttpMethod.GET));
    }

    private static void change(HttpMethod method, Consumer<Reply> reply, Consumer<Consumer<Boolean>> act) {
        if (!method.equals(HttpMethod.POST)) {
            reply.accept(new Reply(HttpResponseStatus.METHOD_NOT_ALLOWED, "", HttpMethod.POST));
            return;
        }
        act.accept(holds -> reply.accept(Reply.of(holds ? HttpResponseStatus.OK
                : HttpResponseStatus.SERVICE_UNAVAILABLE)));
    }
}
