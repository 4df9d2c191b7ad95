package damsonslip.policy;

import damsonslip.policy.api.Settings;
import java.util.Arrays;

/**
 * Which jobs lie within their tenant's quota, of which each dispatcher judges its own part. Guards
 * against one tenant's excess crowding out those within theirs.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class TenantQuotas {
    /**
     * A tenant may run ahead of its quota by this many seconds of it, and by this many jobs at the
     * least.
     */
    private static final double BURST_S = 4.0;

    private static final double LEAST_BURST = 2;
    private static final double SECOND = 1e6;
    private static final double SMALL = 1e-9;

    private final double[] level;
    private final double[] rate;
    private final int[] arrivals;
    private double busier = 1;
    private long levelAt;

    TenantQuotas(int tenants) {
        this.level = new double[tenants];
        this.rate = new double[tenants];
        this.arrivals = new int[tenants];
    }

    /** Quotas run from now on. */
    void begin(long nowUs) {
        levelAt = nowUs;
    }

    /** Takes in the arrivals of so many seconds, by which the newest count with this weight. */
    void measure(double seconds, double weight, Settings settings) {
        for (int t = 0; t < rate.length; t++) {
            rate[t] += weight * (arrivals[t] / seconds - rate[t]);
            arrivals[t] = 0;
        }
        busier = busier(settings);
    }

    /**
     * How much more traffic than an even part this dispatcher has, by its middle tenant, so that it
     * does not take its tenants to be beyond their quotas only because it is busy.
     */
    private double busier(Settings settings) {
        double[] used = rate.clone();
        Arrays.setAll(
                used,
                t -> used[t] * settings.schedulers() / (settings.tenantQuotas().get(t) + SMALL));
        Arrays.sort(used);
        return used.length < 2 ? 1 : Math.max(1, used[(used.length - 1) / 2]);
    }

    /** Counts a job of this tenant; tells whether it lies within its quota. */
    boolean takes(int tenant, Settings settings, long nowUs) {
        if (level.length == 0) {
            return true;
        }
        arrivals[tenant]++;
        double seconds = (nowUs - levelAt) / SECOND;
        levelAt = nowUs;
        for (int t = 0; t < level.length; t++) {
            double part = settings.tenantQuotas().get(t) / settings.schedulers() * busier;
            level[t] = Math.min(level[t] + seconds * part, Math.max(LEAST_BURST, BURST_S * part));
        }
        boolean within = level[tenant] >= 1;
        level[tenant] -= within ? 1 : 0;
        return within;
    }
}
