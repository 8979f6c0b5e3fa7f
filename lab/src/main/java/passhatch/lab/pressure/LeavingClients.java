package passhatch.lab.pressure;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Clients that send requests and more behind them on the same connection, and leave before the responses.
 * Each uses one connection.
 */
final class LeavingClients {

    /** What a client sends behind its sound requests. */
    enum Behind {
        /** Nothing. */
        NOTHING {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) { }
        },
        /** Many small requests without a body, or with an empty one. */
        SMALL {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                sendMany(call, requestsPerWrite, i -> i % 2 == 0
                        ? HttpCall.get(REFUSED_PATH, id + "-" + i, TIME)
                        : HttpCall.postHead(REFUSED_POST_PATH, id + "-" + i, TIME, 0));
            }
        },
        /** Many requests with bodies of 300 bytes. */
        BODIES_OF_300_BYTES {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                sendMany(call, requestsPerWrite, i -> withBody(id + "-" + i, 300));
            }
        },
        /** Many requests with bodies of 3 kB. */
        BODIES_OF_3_KB {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                sendMany(call, requestsPerWrite, i -> withBody(id + "-" + i, 3_000));
            }
        },
        /** A body that is longer than the proxy takes. */
        TOO_LONG_BODY {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                call.send(HttpCall.postHead(REFUSED_POST_PATH, id, TIME, TOO_LONG_BYTES));
                for (int sent = 0; sent < TOO_LONG_BYTES; sent += PIECE_BYTES) {
                    call.send("x".repeat(PIECE_BYTES));
                }
            }
        },
        /** The same in chunks. */
        TOO_LONG_BODY_IN_CHUNKS {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                call.send(HttpCall.postHead(REFUSED_POST_PATH, id, TIME, -1));
                for (int sent = 0; sent < TOO_LONG_BYTES; sent += PIECE_BYTES) {
                    call.send(Integer.toHexString(PIECE_BYTES) + "\r\n" + "x".repeat(PIECE_BYTES) + "\r\n");
                }
            }
        },
        /** Lines that are no HTTP. */
        NO_HTTP {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                sendMany(call, requestsPerWrite, i -> "this is not a request\r\n\r\n");
            }
        },
        /** Half of a request's body. */
        HALF_A_BODY {
            @Override
            void send(HttpCall call, String id, int requestsPerWrite) throws IOException {
                call.send(HttpCall.postHead(REFUSED_POST_PATH, id, TIME, 2 * PIECE_BYTES)
                        + "x".repeat(PIECE_BYTES));
            }
        };

        /** Sends it, until the connection breaks. */
        abstract void send(HttpCall call, String id, int requestsPerWrite) throws IOException;

        private static String withBody(String id, int bytes) {
            return HttpCall.postHead(REFUSED_POST_PATH, id, TIME, bytes) + "x".repeat(bytes);
        }

        private static void sendMany(HttpCall call, int requestsPerWrite, IntFunction<String> request)
                throws IOException {
            for (int sent = 0; sent < SMALL_REQUESTS; sent += requestsPerWrite) {
                call.send(IntStream.range(sent, sent + requestsPerWrite).mapToObj(request)
                        .collect(Collectors.joining()));
                LockSupport.parkNanos(SEND_TIME.toNanos() * requestsPerWrite / SMALL_REQUESTS);
            }
        }
    }

    /** How a client leaves. */
    enum Leaving {
        /** It closes its socket. */
        CLOSE,
        /** It resets the connection. */
        RESET,
        /** It stays until its sound requests are answered; servers serve them after 20 ms. */
        STAY
    }

    /**
     * What the clients do.
     *
     * @param requests sound requests of each client, sent at once
     * @param uploads whether the sound requests have bodies of 60 kB, and are refused before they are read
     * @param behind what follows them
     * @param requestsPerWrite how many of the requests that follow are given to the socket at a time
     * @param leaving how each client leaves, 85 ms after its first byte
     */
    record Plan(int clients, int requests, boolean uploads, Behind behind, int requestsPerWrite,
            Leaving leaving) { }

    /** Time from the first byte to the client's close. */
    private static final Duration TIME_UNTIL_CLOSE = Duration.ofMillis(85);
    /** Time over which the requests behind the sound ones are sent at least. */
    private static final Duration SEND_TIME = Duration.ofMillis(40);
    private static final Duration TIME = DeployedProxy.DEADLINE;
    private static final int SMALL_REQUESTS = 2_000;
    private static final int UPLOAD_BYTES = 60_000;
    private static final int TOO_LONG_BYTES = 33 << 20;
    private static final int PIECE_BYTES = 1 << 16;
    private static final int STAGGER_MS = 5;
    /** Servers hold such a request for 0.45 s, and then refuse it unprocessed. */
    private static final String REFUSED_PATH = "/read/1?serviceMs=450&refuse=1";
    private static final String REFUSED_POST_PATH = "/settle/1?serviceMs=450&refuse=1";
    private static final String UPLOAD_PATH = REFUSED_POST_PATH + "&early=1";
    private static final String SERVED_PATH = "/read/1?serviceMs=20";
    private static final String SERVED_POST_PATH = "/settle/1?serviceMs=20";

    private final Plan plan;
    private final DeployedProxy proxy;
    private final Map<String, Long> leftAtNs = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();

    LeavingClients(Plan plan, DeployedProxy proxy) {
        this.plan = plan;
        this.proxy = proxy;
    }

    /** Starts all clients, a few milliseconds apart. */
    void start() throws InterruptedException {
        for (int i = 0; i < plan.clients(); i++) {
            String id = "left" + i;
            DaemonThreads.start(() -> sendAndLeave(id));
            TimeUnit.MILLISECONDS.sleep(STAGGER_MS);
        }
    }

    private void sendAndLeave(String id) throws IOException, InterruptedException {
        HttpCall call = new HttpCall(proxy.address(), 0);
        long sentNs = System.nanoTime();
        DaemonThreads.start(() -> {
            for (int i = 0; i < plan.requests(); i++) {
                call.send(soundRequest(id + "-sound" + i));
            }
            plan.behind().send(call, id + "-behind", plan.requestsPerWrite());
        });
        if (plan.leaving() == Leaving.STAY) {
            readResponses(call, sentNs);
        } else {
            TimeUnit.MILLISECONDS.sleep(TIME_UNTIL_CLOSE.toMillis());
        }
        if (plan.leaving() == Leaving.RESET) {
            call.socket.setSoLinger(true, 0);
        }
        call.close();
        leftAtNs.put(id, System.nanoTime());
    }

    private String soundRequest(String id) {
        boolean served = plan.leaving() == Leaving.STAY;
        return plan.uploads()
                ? HttpCall.postHead(served ? SERVED_POST_PATH : UPLOAD_PATH, id, TIME, UPLOAD_BYTES)
                        + "x".repeat(UPLOAD_BYTES)
                : HttpCall.get(served ? SERVED_PATH : REFUSED_PATH, id, TIME);
    }

    private void readResponses(HttpCall call, long sentNs) {
        for (int i = 0; i < plan.requests(); i++) {
            HttpCall.Result result = call.read(sentNs, TIME, HttpCall.RESPONSE_SLACK);
            statuses.merge(result.status(), 1, Integer::sum);
        }
    }

    /** How often each status was the response to a sound request; 0 stands for none. */
    Map<Integer, Integer> statuses() {
        return new TreeMap<>(statuses);
    }

    /** How long after its client's close an attempt arrived, in nanoseconds; negative before it. */
    long afterCloseNs(PacedBackends.Arrival arrival) {
        int end = arrival.id().indexOf('-');
        Long leftNs = end < 0 ? null : leftAtNs.get(arrival.id().substring(0, end));
        return leftNs == null ? Long.MIN_VALUE : arrival.atNs() - leftNs;
    }
}
