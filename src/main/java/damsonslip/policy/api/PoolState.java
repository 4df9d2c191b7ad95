package damsonslip.policy.api;

/** How a class's pool stands, for people to read. */
public record PoolState(
        int jobClass,
        int workers,
        double slots,
        double rate,
        double timeUs,
        double freeShare,
        int present,
        int held,
        int share) {}
