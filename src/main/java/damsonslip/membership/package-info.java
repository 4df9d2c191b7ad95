/**
 * The scheduler's view of the discovery service that lists its workers: when to poll it, how long
 * its last list may be used, and when the workers started. {@link
 * damsonslip.membership.DiscoveryWatch} is the entry point; the policy calls it on the event loop.
 * No I/O, clock or threads. Depends on {@code policy.api} only.
 */
package damsonslip.membership;
