/**
 * The interface of the scheduling policy: settings, events, actions, and records of its state for
 * display.
 *
 * <p>All types are immutable. Times are microseconds of one clock that does not go back, chosen by
 * the caller; ids of jobs and workers are the caller's. Used by every caller of the policy and by
 * the code that translates to and from it; depends on no other package.
 */
package damsonslip.policy.api;
