package passhatch.lab.pressure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** What a client does that holds memory or processor time of a proxy without being a sound one. */
enum HoldingClient {
    /** An unfinished head of very many short fields, sent at once. */
    SHORT_FIELDS {
        @Override
        void hold(HttpCall call, String id) throws IOException {
            call.send(UNFINISHED_HEAD.formatted(id));
            readUntilClosed(call, Duration.ofSeconds(10));
        }
    },
    /** The same in small pieces over 2 s. */
    SHORT_FIELDS_IN_PIECES {
        @Override
        void hold(HttpCall call, String id) throws IOException, InterruptedException {
            String head = UNFINISHED_HEAD.formatted(id);
            for (int piece = 0; piece < PIECES; piece++) {
                int from = head.length() * piece / PIECES;
                call.send(head.substring(from, head.length() * (piece + 1) / PIECES));
                TimeUnit.MILLISECONDS.sleep(2_000 / PIECES);
            }
            readUntilClosed(call, Duration.ofSeconds(10));
        }
    },
    /** Whole requests with such heads, eight on a connection, their responses unread. */
    SHORT_FIELDS_WHOLE {
        @Override
        void hold(HttpCall call, String id) throws IOException, InterruptedException {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED; i++) {
                requests.append(UNFINISHED_HEAD.formatted(id + "-" + i)).append("\r\n");
            }
            call.send(requests.toString());
            TimeUnit.SECONDS.sleep(2);
        }
    },
    /** Requests of some thirty bytes, many on a connection, their responses unread. */
    SHORT_REQUESTS {
        @Override
        void hold(HttpCall call, String id) throws IOException, InterruptedException {
            call.send("GET /x HTTP/1.1\r\nA:\r\n\r\n".repeat(1_200));
            TimeUnit.SECONDS.sleep(2);
        }
    },
    /** Requests with long paths and keys to slow servers, as many at a time as are open on a connection. */
    LONG_NAMES {
        @Override
        void hold(HttpCall call, String id) throws IOException {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < OPEN_REQUESTS; i++) {
                requests.append("POST /book/").append("p".repeat(LONG_PATH_CHARS))
                        .append("?serviceMs=1900 HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\nX-Request-Id: ")
                        .append(id).append('-').append(i).append("\r\nIdempotency-Key: ")
                        .append("k".repeat(LONG_KEY_CHARS)).append("\r\n\r\n");
            }
            call.send(requests.toString());
            readUntilClosed(call, Duration.ofSeconds(3));
        }
    },
    /** Half of a request of 64 KiB. */
    HALF_BODIES {
        @Override
        void hold(HttpCall call, String id) throws IOException {
            call.send(HttpCall.postHead("/book/1", id, DeployedProxy.DEADLINE, HALF_BODY_BYTES * 2)
                    + "x".repeat(HALF_BODY_BYTES));
            readUntilClosed(call, Duration.ofSeconds(10));
        }
    },
    /** Half of a request in chunks of one byte. */
    ONE_BYTE_CHUNKS {
        @Override
        void hold(HttpCall call, String id) throws IOException {
            call.send(HttpCall.postHead("/book/1", id, DeployedProxy.DEADLINE, -1)
                    + "1\r\nx\r\n".repeat(HALF_BODY_BYTES / 8));
            readUntilClosed(call, Duration.ofSeconds(10));
        }
    },
    /** A response of 700 kB that is read at 64 kB a second. */
    SLOW_READERS {
        @Override
        void hold(HttpCall call, String id) throws IOException, InterruptedException {
            call.send(HttpCall.get("/read/1?length=700000", id, DeployedProxy.DEADLINE));
            byte[] piece = new byte[SLOW_READ_BYTES];
            while (call.readSome(piece) >= 0) {
                TimeUnit.MILLISECONDS.sleep(SLOW_READ_INTERVAL_MS);
            }
        }
    },
    /** Small requests under ever new names on one connection, at full speed. */
    FLOOD {
        @Override
        void hold(HttpCall call, String id) throws IOException {
            DaemonThreads.start(() -> {
                byte[] responses = new byte[1 << 16];
                while (call.readSome(responses) >= 0) {
                    // Responses are only taken.
                }
            });
            for (int i = 0; true; i++) {
                StringBuilder burst = new StringBuilder();
                for (int j = 0; j < 50; j++) {
                    String name = id + "-" + i + "-" + j;
                    burst.append(j % 2 == 0 ? HttpCall.get("/" + name, name, DeployedProxy.DEADLINE)
                            : HttpCall.get("/read/" + name, name, DeployedProxy.DEADLINE));
                }
                call.send(burst.toString());
            }
        }
    };

    private static final int RECONNECT_PAUSE_MS = 500;
    private static final int FIELDS = 1_160;
    private static final int OPEN_REQUESTS = 4;
    private static final int LONG_PATH_CHARS = 3_900;
    private static final int LONG_KEY_CHARS = 7_900;
    private static final int PIECES = 100;
    private static final int PIPELINED = 8;
    private static final int HALF_BODY_BYTES = 1 << 15;
    private static final int SLOW_READ_BYTES = 6_400;
    private static final int SLOW_READ_INTERVAL_MS = 100;
    private static final int SLOW_RECEIVE_BUFFER_BYTES = 1 << 14;
    private static final String UNFINISHED_HEAD =
            "GET /read/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: %s\r\n" + "a:b\r\n".repeat(FIELDS);

    /** Holds what it can on one connection, until that ends. */
    abstract void hold(HttpCall call, String id) throws IOException, InterruptedException;

    private static void readUntilClosed(HttpCall call, Duration time) throws IOException {
        call.socket.setSoTimeout((int) time.toMillis());
        byte[] buffer = new byte[1 << 10];
        while (call.readSome(buffer) >= 0) {
            // The response is not looked at.
        }
    }

    /** Does the same on one connection after the other until the end. */
    void holdRepeatedly(InetSocketAddress proxy, String name, long endNs) throws InterruptedException {
        for (int i = 0; System.nanoTime() < endNs; i++) {
            try (HttpCall call = new HttpCall(proxy, this == SLOW_READERS ? SLOW_RECEIVE_BUFFER_BYTES : 0)) {
                hold(call, name + "-" + i);
            } catch (IOException closed) {
                // It connects again, as after a close in order.
            }
            TimeUnit.MILLISECONDS.sleep(RECONNECT_PAUSE_MS);
        }
    }
}
