package damsonslip.policy.api;

/** The workers that drop a keyed job's repeats: all, those of one zone, or those of one cell. */
public enum IdempotencyScope {
    ALL_WORKERS,
    ZONE,
    CELL
}
