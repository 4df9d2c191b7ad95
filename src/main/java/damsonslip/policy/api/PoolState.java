package damsonslip.policy.api;

/**
 * State of a job class's pool, for people to read.
 *
 * @param workers number of workers
 * @param slots their slots
 * @param arrivalRate jobs a second at all schedulers, estimated
 * @param meanRunTimeUs mean run time of a job
 * @param freeShare share of free slots, estimated
 * @param present jobs without an answer at this scheduler
 * @param queued those of them that wait in the admission queue
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
