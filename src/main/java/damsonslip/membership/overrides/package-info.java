/**
 * Operators' overrides that disable or enable workers, applied to the list from discovery before
 * the policy receives it. Called by the engine on the event loop. No I/O, clock or threads. Depends
 * on {@code policy.api} only.
 */
package damsonslip.membership.overrides;
