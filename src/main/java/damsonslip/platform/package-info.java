/**
 * The platform's front: HTTP from clients, HTTP to workers, the endpoint list from discovery.
 * {@link damsonslip.platform.Platform} assembles the sides, which the packages below hold, and
 * carries out what concerns all of them: the start, reloads, upgrades, draining and the graceful
 * shutdown.
 *
 * <p>Called by the command line alone. Depends on its own sub-packages, {@code admin}, {@code
 * transport}, the engine and the configuration.
 */
package damsonslip.platform;
