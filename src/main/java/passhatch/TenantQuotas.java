package passhatch;

import java.util.Arrays;

/** Checks the requests of tenants against their quotas by the generic cell rate algorithm. */
final class TenantQuotas {

    /**
     * A tenant may send as many requests at once as its quota allows in this time. It covers the restart of a
     * replica, during which the others get its requests.
     */
    private static final double BURST_US = 5_000_000;

    /** When each tenant's next request would arrive if all so far had come evenly at its quota's rate. */
    private final double[] theoreticalArrivalUs;

    TenantQuotas(int tenants) {
        theoreticalArrivalUs = new double[tenants];
        Arrays.fill(theoreticalArrivalUs, Long.MIN_VALUE);
    }

    /**
     * Counts a request, unless it exceeds its tenant's quota.
     *
     * @param tenant the index of the tenant
     * @param quotaPerSecond the part of the tenant's quota that applies here, in requests per second; 0 for
     *     no limit
     * @return whether it exceeds the quota
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
