package damsonslip.policy.api;

/**
 * Limits and prices of what the policy may do.
 *
 * @param maxAttempts maximum number of attempts for one job, at least 1
 * @param mayCancel whether attempts may be cancelled
 * @param mayProbe whether workers may be probed
 * @param probePrice price of sending one probe for each job, in points of service
 * @param crossZonePrice price of sending each job to a worker of another zone, in points of service
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
