package passhatch;

/** Limits retries and hedged attempts: a token bucket into which each request deposits a part of a token. */
final class RetryBudget {

    /** Tokens deposited for each request, so that in the long run retries add at most a tenth of load. */
    private static final double DEPOSIT_PER_REQUEST = 0.1;
    /** Tokens that can be saved up for a burst of failures; one token pays for one attempt. */
    private static final double CAPACITY = 5;

    private double balance = CAPACITY;

    void deposit() {
        balance = Math.min(CAPACITY, balance + DEPOSIT_PER_REQUEST);
    }

    boolean canAfford(double cost) {
        return balance >= cost;
    }

    void withdraw(double cost) {
        balance -= cost;
    }
}
