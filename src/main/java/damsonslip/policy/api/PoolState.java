package damsonslip.policy.api;

/**
 * State of a job class's pool, for display to operators.
 *
 * @param workers number of workers
 * @param slots total slots of these workers
 * @param arrivalRate estimated jobs a second at all schedulers
 * @param meanRunTimeUs mean run time of a job
 * @param freeShare estimated share of free slots
 * @param present unanswered jobs at this scheduler
 * @param queued number of these that wait in the admission queue
 * @param admissionShare this scheduler's share of the admission threshold, in jobs
 */
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
