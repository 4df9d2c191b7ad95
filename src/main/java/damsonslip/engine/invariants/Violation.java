package damsonslip.engine.invariants;

/**
 * An action that would break, or has broken, a rule.
 *
 * @param invariant which rule
 * @param job the request's id, or empty
 * @param worker the worker's id, or empty
 * @param detail the facts that it rests on, for the log
 */
public record Violation(Invariant invariant, String job, String worker, String detail) {}
