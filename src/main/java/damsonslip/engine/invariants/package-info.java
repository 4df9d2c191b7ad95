/**
 * The operators' rules as checks on what the program is about to do. There is one guard each for
 * sending, retrying, closing and starting, called where the program starts an attempt, answers,
 * closes a connection or starts to serve. The decision module decides; a guard checks its decision
 * against the rule's own words, from the facts that it is given. A violation is a fault of the
 * program.
 *
 * <p>No I/O, no clock, no threads; depends on {@code damsonslip.policy.api} only.
 */
package damsonslip.engine.invariants;
