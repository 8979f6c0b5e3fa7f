package passhatch;

import java.util.Arrays;

/** What tenants sent against their shares, as if it had come evenly (generic cell rate algorithm). */
final class TenantQuotas {

    /** A tenant may send as much at once as its share is in this time, in which a copy may restart. */
    private static final double BURST_US = 5_000_000;

    /** When what each tenant sent so far would have come, had it come evenly at the rate of its share. */
    private final double[] theoreticalArrivalUs;

    TenantQuotas(int tenants) {
        theoreticalArrivalUs = new double[tenants];
        Arrays.fill(theoreticalArrivalUs, Long.MIN_VALUE);
    }

    /**
     * Counts a request, unless it lies beyond its tenant's share.
     *
     * @param quotaPerSecond requests a second; 0 for no limit
     * @return whether it lies beyond the share
     */
    boolean exceedsQuota(long nowUs, int tenant, double quotaPerSecond) {
        if (quotaPerSecond > 0 && theoreticalArrivalUs[tenant] > nowUs + BURST_US) {
            return true;
        }
        theoreticalArrivalUs[tenant] = Math.max(theoreticalArrivalUs[tenant], nowUs)
                + (quotaPerSecond > 0 ? 1e6 / quotaPerSecond : 0);
        return false;
    }
}
