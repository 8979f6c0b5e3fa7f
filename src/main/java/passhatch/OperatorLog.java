package passhatch;

import passhatch.Balancer.Actions;

/** Lines for the operator, few of them: trouble comes in crowds. */
final class OperatorLog {

    /** At most one line in this time. */
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
