package passhatch;

import passhatch.Balancer.Actions;

/** Lines for the operator, few of them: trouble comes in crowds. */
final class OperatorLog {

    /** At most one line in this time. */
    private static final long SAY_AGAIN_US = 10_000_000;

    private final Actions actions;
    private long sayAtUs = Long.MIN_VALUE;

    OperatorLog(Actions actions) {
        this.actions = actions;
    }

    void say(long nowUs, String subject, String text) {
        if (sayAtUs <= nowUs) {
            sayAtUs = nowUs + SAY_AGAIN_US;
            actions.log(subject + text);
        }
    }
}
