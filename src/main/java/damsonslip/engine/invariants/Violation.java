package damsonslip.engine.invariants;

/**
 * An action that would violate, or has violated, an invariant.
 *
 * @param invariant the violated invariant
 * @param job the request's id, or empty
 * @param worker the worker's id, or empty
 * @param detail the facts that show the violation, for the log
 */
public record Violation(Invariant invariant, String job, String worker, String detail) {}
