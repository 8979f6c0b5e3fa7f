package passhatch;

import passhatch.Balancer.Actions;

/** Rate-limited warnings for the operator: one fault often causes many warnings at once. */
final class OperatorLog {

    /** At most one line is written in this time; further ones are dropped. */
    private static final long MIN_INTERVAL_US = 10_000_000;

    private final Actions actions;
    private long nextLineAtUs = Long.MIN_VALUE;

    OperatorLog(Actions actions) {
        this.actions = actions;
    }

    void warn(long nowUs, String subject, String text) {
        if (nextLineAtUs <= nowUs) {
            nextLineAtUs = nowUs + MIN_INTERVAL_US;
            actions.log(subject + text);
        }
    }
}
