package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Limits;
import passhatch.Balancer.Prices;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/**
 * Builds {@link Settings} by name, with defaults: one replica, one tier, one zone, discovery that pushes its
 * changes, no prices, no tenants. Only the classes of requests have no default. Meanings and units of the
 * values are documented at the records of {@link Balancer}; the constructor of {@link LeastLoadedBalancer}
 * checks them.
 */
public final class SettingsBuilder {

    private final List<RequestClass> classes = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private double overQuotaValueFraction = 1;
    private Limits limits = new Limits(3, true, false, 0, 100);
    private Rules rules = new Rules(500_000, 0, 0.25, 30_000_000, 2, 1_000_000);
    private Prices prices = new Prices(0, 0);
    private int replicas = 1;
    private int replicaIndex;
    private int tier;
    private int tiers = 1;
    private int zone;
    private boolean watch;
    private long tickUs = 1_000;

    /** Adds a class of requests; requests refer to it by its index, from 0 in the order of these calls. */
    public SettingsBuilder requestClass(RequestClass requestClass) {
        classes.add(requestClass);
        return this;
    }

    /** Adds a tenant; requests refer to it by its index, from 0 in the order of these calls. */
    public SettingsBuilder tenant(Tenant tenant) {
        tenants.add(tenant);
        return this;
    }

    /**
     * Sets the fraction of the value that a request beyond its tenant's quota has, 0 to 1. Default: 1, which
     * makes quotas ineffective.
     */
    public SettingsBuilder overQuotaValueFraction(double fraction) {
        overQuotaValueFraction = fraction;
        return this;
    }

    /**
     * Sets the limits of the deployment. Default: 3 attempts, cancelling and hedging allowed, no probes,
     * clients honour no retry-after, 100 calls per connection, unknown keep-alive time.
     */
    public SettingsBuilder limits(Limits value) {
        limits = value;
        return this;
    }

    /**
     * Sets the rules on draining, discovery and warm-up. Default: 0.5 s of grace at a drain, idle connections
     * may stay open, no limit on the time between calls to discovery; a server starts with a quarter of its
     * capacity, warms up in 30 s, and fails when it gets twice its capacity for 1 s.
     */
    public SettingsBuilder rules(Rules value) {
        rules = value;
        return this;
    }

    /** Sets the prices of probes and of attempts in other zones. Default: both 0. */
    public SettingsBuilder prices(Prices value) {
        prices = value;
        return this;
    }

    /**
     * Sets how many replicas of the proxy send to the same tier, and the index of this one, from 0. Default:
     * 1, 0.
     */
    public SettingsBuilder replicas(int count, int index) {
        replicas = count;
        replicaIndex = index;
        return this;
    }

    /** Sets the index of the tier this instance sends to, from 0, and the number of tiers. Default: 0, 1. */
    public SettingsBuilder tier(int index, int count) {
        tier = index;
        tiers = count;
        return this;
    }

    /** Sets the zone this instance runs in. Default: 0. */
    public SettingsBuilder zone(int index) {
        zone = index;
        return this;
    }

    /** Sets whether discovery reports changes only on request. Default: false, it pushes them. */
    public SettingsBuilder watch(boolean onRequest) {
        watch = onRequest;
        return this;
    }

    /** Sets the shortest time between two events of this instance, in microseconds. Default: 1000. */
    public SettingsBuilder tickUs(long intervalUs) {
        tickUs = intervalUs;
        return this;
    }

    /** Returns the settings, which are not checked yet. */
    public Settings build() {
        return new Settings(List.copyOf(classes), List.copyOf(tenants), limits, rules, prices, replicas,
                replicaIndex, tier, tiers, zone, watch, overQuotaValueFraction, tickUs);
    }
}
