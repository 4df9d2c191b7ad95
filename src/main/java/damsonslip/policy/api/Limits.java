package damsonslip.policy.api;

/**
 * Limits and prices of what the policy may do.
 *
 * @param maxAttempts most attempts for one job, at least 1
 * @param mayCancel whether attempts may be cancelled
 * @param mayProbe whether workers may be probed
 * @param probePrice points of service that a probe for each job costs
 * @param crossZonePrice points of service that an attempt across zones for each job costs
 */
public record Limits(
        int maxAttempts,
        boolean mayCancel,
        boolean mayProbe,
        double probePrice,
        double crossZonePrice) {
    /** Checks the ranges. */
    public Limits {
        Requirements.require(maxAttempts >= 1, "settings: attempts: " + maxAttempts);
        Requirements.require(probePrice >= 0, "settings: price of a probe: " + probePrice);
        Requirements.require(
                crossZonePrice >= 0, "settings: price of crossing zones: " + crossZonePrice);
    }
}
