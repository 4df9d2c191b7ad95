/**
 * The operators' rules as runtime checks. There is one guard each for sending, retrying, closing
 * and starting, called where the scheduler starts an attempt, answers, closes a connection or
 * starts to serve. The scheduling policy decides; a guard checks the decision against the rule as
 * it is written, using only the facts that it is given. A violation is a fault of the program.
 *
 * <p>No I/O, no clock, no threads; depends on {@code damsonslip.policy.api} only.
 */
package damsonslip.engine.invariants;
