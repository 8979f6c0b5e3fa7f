package passhatch;

/** Further attempts that may be made: a token bucket into which each request pays a part of one. */
final class RetryBudget {

    /** Paid in by each request, so that retries add a tenth of load at most for long. */
    private static final double DEPOSIT_PER_REQUEST = 0.1;
    /** Further attempts that may be saved up for a burst of failures. */
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
