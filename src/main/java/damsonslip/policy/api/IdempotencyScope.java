package damsonslip.policy.api;

/** The workers that share idempotency keys. */
public enum IdempotencyScope {
    /** All workers. */
    ALL_WORKERS,
    /** The workers of one zone. */
    ZONE,
    /** The workers of one cell. */
    CELL
}
