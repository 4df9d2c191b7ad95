package damsonslip.policy.api;

/**
 * What is allowed.
 *
 * @param maxAttempts attempts for one job
 * @param mayCancel whether attempts may be called off
 * @param mayProbe whether workers may be probed
 * @param probePrice points of service for one probe a job
 * @param crossZonePrice points of service for an attempt that crosses zones, a job
 */
public record Limits(
        int maxAttempts,
        boolean mayCancel,
        boolean mayProbe,
        double probePrice,
        double crossZonePrice) {
    public Limits {
        Requirements.require(maxAttempts >= 1, "settings: attempts: " + maxAttempts);
        Requirements.require(probePrice >= 0, "settings: price of a probe: " + probePrice);
        Requirements.require(
                crossZonePrice >= 0, "settings: price of crossing zones: " + crossZonePrice);
    }
}
