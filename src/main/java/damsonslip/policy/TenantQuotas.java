package damsonslip.policy;

import damsonslip.policy.api.Settings;
import java.util.Arrays;

/**
 * Decides which jobs are within their tenant's quota, with a token bucket for each tenant. Every
 * scheduler enforces its own part of a quota.
 *
 * <p>Quotas keep the excess jobs of one tenant from displacing jobs that are within the quotas of
 * others. Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class TenantQuotas {
    /** A bucket holds this many seconds of its quota. */
    private static final double BURST_SECONDS = 4.0;

    /** A bucket holds at least this many jobs. */
    private static final double MIN_BURST_JOBS = 2;

    private static final double MICROS_PER_SECOND = 1e6;

    /** Avoids division by 0 for a quota of 0. */
    private static final double QUOTA_EPSILON = 1e-9;

    private final double[] tokens;
    private final double[] arrivalRates;
    private final int[] arrivals;
    private double trafficFactor = 1;
    private long filledAtUs;

    TenantQuotas(int tenants) {
        this.tokens = new double[tenants];
        this.arrivalRates = new double[tenants];
        this.arrivals = new int[tenants];
    }

    /** Starts to fill the buckets. */
    void start(long nowUs) {
        filledAtUs = nowUs;
    }

    /** Updates the tenants' arrival rates by the arrivals of an interval. */
    void measure(MeasurementInterval interval, Settings settings) {
        for (int tenant = 0; tenant < arrivalRates.length; tenant++) {
            double measured = arrivals[tenant] / interval.seconds();
            arrivalRates[tenant] += interval.weight() * (measured - arrivalRates[tenant]);
            arrivals[tenant] = 0;
        }
        trafficFactor = trafficFactor(settings);
    }

    /**
     * Returns the factor by which the buckets fill faster than with an even part of the quotas, at
     * least 1: the median, over the tenants, of the traffic here relative to an even part of the
     * quota. So tenants are not over their quotas merely because this scheduler receives more
     * traffic than the others.
     */
    private double trafficFactor(Settings settings) {
        double[] usage = arrivalRates.clone();
        Arrays.setAll(
                usage,
                tenant ->
                        usage[tenant]
                                * settings.schedulers()
                                / (settings.tenantQuotas().get(tenant) + QUOTA_EPSILON));
        Arrays.sort(usage);
        return usage.length < 2 ? 1 : Math.max(1, usage[(usage.length - 1) / 2]);
    }

    /**
     * Counts a job of this tenant, and takes a token for it; returns whether there was one, that
     * is, whether the job is within the quota.
     */
    boolean tryAcquire(int tenant, Settings settings, long nowUs) {
        if (tokens.length == 0) {
            return true;
        }
        arrivals[tenant]++;
        fill(settings, nowUs);
        boolean within = tokens[tenant] >= 1;
        tokens[tenant] -= within ? 1 : 0;
        return within;
    }

    private void fill(Settings settings, long nowUs) {
        double seconds = (nowUs - filledAtUs) / MICROS_PER_SECOND;
        filledAtUs = nowUs;
        for (int tenant = 0; tenant < tokens.length; tenant++) {
            double rate =
                    settings.tenantQuotas().get(tenant) / settings.schedulers() * trafficFactor;
            double capacity = Math.max(MIN_BURST_JOBS, BURST_SECONDS * rate);
            tokens[tenant] = Math.min(tokens[tenant] + seconds * rate, capacity);
        }
    }
}
