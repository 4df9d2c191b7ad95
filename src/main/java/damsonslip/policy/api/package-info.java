/**
 * The interface of the scheduling policy: settings, events, actions, and its state for people to
 * read.
 *
 * <p>All types are immutable. Times are microseconds of one clock that does not go back, chosen by
 * the caller; ids of jobs and workers are the caller's. Used by all that drives the policy or
 * translates for it; depends on no other package.
 */
package damsonslip.policy.api;
