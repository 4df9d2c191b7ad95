/**
 * The operators' rules as checks on what the program is about to do: one guard each for sending,
 * repeating, closing and starting, called where the program begins an attempt, answers, ends a
 * connection or begins to serve. The module decides; a guard checks the decision by the rule's own
 * words, from facts that it is handed. A violation is a fault of the program.
 *
 * <p>No I/O, no clock, no threads; depends on the module's types only.
 */
package damsonslip.engine.invariants;
