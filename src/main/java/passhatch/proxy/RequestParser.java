package passhatch.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import passhatch.Balancer.Effect;
import passhatch.Balancer.RequestClass;

/** Converts a client's HTTP request to a {@link ProxyRequest}, or rejects it with a status and a reason. */
final class RequestParser {

    /** A number with the unit "m" for milliseconds or "u" for microseconds. */
    private static final Pattern DEADLINE_PATTERN = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)([mu])");
    private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,128}");
    private static final Pattern VISIBLE_ASCII_PATTERN = Pattern.compile("[\\x21-\\x7e]+");
    /** A number of microseconds. */
    private static final Pattern COST_HINT_PATTERN = Pattern.compile("\\d{1,12}(?:\\.\\d{1,9})?");
    private static final String MALFORMED_DEADLINE = "X-Deadline is malformed";

    /** Thrown for a request with invalid headers, method or path; carries the HTTP status to answer with. */
    static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        InvalidRequestException(HttpResponseStatus status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    private final List<RequestClass> classes;
    private final List<String> classNames;
    private final List<String> tenants;

    /** Creates a parser for the request classes and tenants of the configuration. */
    RequestParser(ProxyConfig config) {
        this.classes = config.settings().classes();
        this.classNames = config.classes();
        this.tenants = config.tenants();
    }

    /**
     * Parses a request.
     *
     * @param unreadUs how long the request has been waiting unread, in microseconds; subtracted from its
     *     deadline
     * @throws InvalidRequestException if the path names no request class, or the method or a header is
     *     invalid
     */
    ProxyRequest parse(RequestReader.IncomingRequest incoming, long unreadUs) throws InvalidRequestException {
        HttpRequest head = incoming.head();
        int classIndex = findClassIndex(head);
        HttpHeaders headers = head.headers();
        String id = headers.get("X-Request-Id", "");
        if (!REQUEST_ID_PATTERN.matcher(id).matches()) {
            throw invalid("X-Request-Id is missing or malformed");
        }
        String idempotencyKey = headers.get("Idempotency-Key");
        // Both are forwarded unchanged, so they may contain only characters that are valid in a request head.
        if (!VISIBLE_ASCII_PATTERN.matcher(head.uri()).matches()
                || idempotencyKey != null && !VISIBLE_ASCII_PATTERN.matcher(idempotencyKey).matches()) {
            throw invalid("the path or Idempotency-Key is malformed");
        }
        long classDeadlineUs = classes.get(classIndex).deadlineUs();
        long requestDeadlineUs =
                Math.min(classDeadlineUs, parseDeadlineUs(headers.get("X-Deadline"), classDeadlineUs));
        return new ProxyRequest(id, classIndex, findTenantIndex(headers.get("X-Tenant")),
                requestDeadlineUs - unreadUs, parseCostHintUs(headers.get("X-Cost-Hint"), classDeadlineUs),
                "1".equals(headers.get("X-Retry")), head.method(), head.uri(), idempotencyKey,
                incoming.body());
    }

    /**
     * Finds the request class named by the first segment of the path. Its effect must match what the method
     * promises the client: safe for GET, keyed for POST with an idempotency key, unsafe for other POSTs.
     */
    private int findClassIndex(HttpRequest head) throws InvalidRequestException {
        String path = new QueryStringDecoder(head.uri()).rawPath();
        int classNameEnd = path.indexOf('/', 1);
        int classIndex = path.startsWith("/")
                ? classNames.indexOf(path.substring(1, classNameEnd < 0 ? path.length() : classNameEnd))
                : -1;
        if (classIndex < 0) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        Effect effect = head.method().equals(HttpMethod.GET) ? Effect.SAFE
                : !head.method().equals(HttpMethod.POST) ? null
                : head.headers().contains("Idempotency-Key") ? Effect.KEYED : Effect.UNSAFE;
        if (effect != classes.get(classIndex).effect()) {
            throw invalid("the method or Idempotency-Key does not fit the class");
        }
        return classIndex;
    }

    /**
     * Finds the index of a tenant. A request that names none gets an index behind the last tenant, so that it
     * does not use up the quota of the first.
     */
    private int findTenantIndex(String name) throws InvalidRequestException {
        if (name == null || tenants.isEmpty()) {
            return tenants.size();
        }
        int tenantIndex = tenants.indexOf(name);
        if (tenantIndex < 0) {
            throw invalid("X-Tenant is not known");
        }
        return tenantIndex;
    }

    private static long parseDeadlineUs(String text, long defaultUs) throws InvalidRequestException {
        if (text == null) {
            return defaultUs;
        }
        Matcher matcher = DEADLINE_PATTERN.matcher(text.strip());
        if (!matcher.matches()) {
            throw invalid(MALFORMED_DEADLINE);
        }
        return (long) (Double.parseDouble(matcher.group(1)) * (matcher.group(2).equals("m") ? 1000 : 1));
    }

    /**
     * Parses the client's estimate of the work; 0 if it is missing or malformed. An estimate above the
     * deadline of the class is ignored as well: in the decision module's averages it would make all later
     * requests look small.
     */
    private static long parseCostHintUs(String text, long classDeadlineUs) {
        if (text == null || !COST_HINT_PATTERN.matcher(text.strip()).matches()) {
            return 0;
        }
        double hintUs = Double.parseDouble(text.strip());
        return hintUs <= classDeadlineUs ? (long) hintUs : 0;
    }

    private static InvalidRequestException invalid(String message) {
        return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, message);
    }
}
