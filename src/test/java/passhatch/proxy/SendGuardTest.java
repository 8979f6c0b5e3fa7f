package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Effect;
import passhatch.proxy.SendGuard.Attempt;
import passhatch.proxy.SendGuard.Violation;
import passhatch.proxy.SendGuard.WriteConditions;

/** Each reason to hold an attempt back and each violation must be counted, and violations logged. */
final class SendGuardTest {

    private static final long GRACE_US = 2_500_000;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final SendGuard guard = new SendGuard(new EventLog(new PrintStream(out, true,
            StandardCharsets.UTF_8)), GRACE_US, 3);

    private Map<String, Long> metrics() {
        Map<String, Long> metrics = new HashMap<>();
        guard.metrics(metrics::put);
        return metrics;
    }

    @Test
    void eachReasonToHoldAnAttemptBackIsCounted() {
        assertTrue(guard.mayWrite(new WriteConditions(false, true, true, true, true)));
        assertFalse(guard.mayWrite(new WriteConditions(true, true, true, true, true)));
        assertFalse(guard.mayWrite(new WriteConditions(false, false, true, true, true)));
        assertFalse(guard.mayWrite(new WriteConditions(false, true, false, true, true)));
        assertFalse(guard.mayWrite(new WriteConditions(false, true, true, false, true)));
        assertFalse(guard.mayWrite(new WriteConditions(false, true, true, true, false)));
        guard.recordClientUnknown();
        guard.recordIdClaimed();
        for (SendGuard.HeldBack reason : SendGuard.HeldBack.values()) {
            assertEquals(1, metrics().get("held_back." + Metrics.lowerCase(reason)));
        }
    }

    @Test
    void anAttemptWithinTheRulesIsNoViolation() {
        guard.checkWritten(new Attempt("r", "s", GRACE_US, Effect.SAFE, true, 3, 1_150_000, 1_000_000));
        guard.checkWritten(new Attempt("r", "s", -1, Effect.UNSAFE, false, 1, 1, 1));
        assertEquals("", out.toString(StandardCharsets.UTF_8));
    }

    @Test
    void eachBrokenRuleIsCountedAndLogged() {
        guard.checkWritten(new Attempt("r", "s", GRACE_US + 1, Effect.UNSAFE, true, 4, 1_150_001, 1_000_000));
        guard.recordClosedUnanswered("q");
        for (Violation rule : Violation.values()) {
            assertEquals(1, guard.violationCount(rule), rule.name());
            assertTrue(out.toString(StandardCharsets.UTF_8).contains("VIOLATION " + rule));
        }
    }
}
