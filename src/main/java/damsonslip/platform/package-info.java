/**
 * The platform's front end: HTTP from clients, HTTP to workers, the endpoint list from discovery.
 * {@link damsonslip.platform.Platform} assembles the parts in the sub-packages, and handles what
 * concerns all of them: start-up, reloads, upgrades, draining and the graceful shutdown.
 *
 * <p>Called by the command line only. Depends on its own sub-packages, {@code admin}, {@code
 * transport}, the engine and the configuration.
 */
package damsonslip.platform;
