package passhatch.lab.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The request classes of a soak, one for each effect that the protocol defines. */
enum RequestKind {
    /** Safe to repeat. */
    READ("read", "pure", Duration.ofMillis(1_500)),
    /** Carries a key by which every server drops repetitions within {@link #DEDUP_WINDOW}. */
    KEYED("keyed", "token", Duration.ofMillis(1_500)),
    /** Has side effects and must never run twice. */
    UNSAFE("unsafe", "side_effect", Duration.ofMillis(2_000));

    /** How long servers drop repetitions of a keyed request. */
    static final Duration DEDUP_WINDOW = Duration.ofMillis(900);
    /** The longest deadline of a request. */
    static final Duration LONGEST_DEADLINE = UNSAFE.deadline;

    final String path;
    final Duration deadline;
    private final String effect;

    RequestKind(String path, String effect, Duration deadline) {
        this.path = path;
        this.effect = effect;
        this.deadline = deadline;
    }

    private static long toMicroseconds(Duration duration) {
        return duration.toNanos() / 1_000;
    }

    /** Returns the entry of the class in a proxy's settings. */
    Map<String, Object> settings() {
        Map<String, Object> json = new HashMap<>(Map.of("name", path, "effect", effect,
                "goalTimeUs", toMicroseconds(deadline) / 2, "deadlineUs", toMicroseconds(deadline), "worth",
                1,
                "lateWorth", 0.5, "group", "all"));
        if (this == KEYED) {
            json.put("dedupWindowUs", toMicroseconds(DEDUP_WINDOW));
        }
        return json;
    }

    /** Returns a complete request without a body, with the given id and time left until its deadline. */
    String message(String id, Duration timeLeft) {
        String method = this == READ ? "GET" : "POST";
        return method + " /" + path + "/1 HTTP/1.1\r\nHost: soak\r\nX-Request-Id: " + id + "\r\nX-Deadline: "
                + toMicroseconds(timeLeft) + "u\r\n" + (this == READ ? "" : "Content-Length: 0\r\n")
                + (this == KEYED ? "Idempotency-Key: " + id + "\r\n" : "") + "\r\n";
    }
}
