package damsonslip.policy.api;

/** How a class's pool stands, for people to read. */
public record PoolState(
        int jobClass,
        int workers,
        double slots,
        double arrivalRate,
        double meanRunTimeUs,
        double freeShare,
        int present,
        int queued,
        int admissionShare) {}
