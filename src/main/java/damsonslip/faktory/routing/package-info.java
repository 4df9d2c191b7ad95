/**
 * Determines the class of each job from the configured routes. Called by the Faktory frontend. Does
 * no I/O and reads no clock; depends on {@code faktory.jobs} only for its glob patterns.
 */
package damsonslip.faktory.routing;
