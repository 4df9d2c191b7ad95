/**
 * Which class a job belongs to, by the operator's routes. Called by the Faktory front. Does no I/O
 * and reads no clock; depends on {@code faktory.jobs} for its patterns only.
 */
package damsonslip.faktory.routing;
