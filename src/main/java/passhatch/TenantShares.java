package passhatch;

import java.util.Arrays;

/** What tenants sent against their shares, as if it had come evenly (generic cell rate algorithm). */
final class TenantShares {

    /** A tenant may send as much at once as its share is in this time, in which a copy may restart. */
    private static final double BURST_US = 5_000_000;

    /** When what each tenant sent so far would have come, had it come evenly at the rate of its share. */
    private final double[] evenlyAtUs;

    TenantShares(int tenants) {
        evenlyAtUs = new double[tenants];
        Arrays.fill(evenlyAtUs, Long.MIN_VALUE);
    }

    /**
     * Counts a request, unless it lies beyond its tenant's share.
     *
     * @param quota requests a second; 0 for no limit
     * @return whether it lies beyond the share
     */
    boolean isBeyond(long nowUs, int tenant, double quota) {
        if (quota > 0 && evenlyAtUs[tenant] > nowUs + BURST_US) {
            return true;
        }
        evenlyAtUs[tenant] = Math.max(evenlyAtUs[tenant], nowUs) + (quota > 0 ? 1e6 / quota : 0);
        return false;
    }
}
