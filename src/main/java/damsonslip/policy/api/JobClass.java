package damsonslip.policy.api;

/**
 * A job class.
 *
 * @param latencyObjectiveUs an answer within this time, plus stretch times the running time, earns
 *     full worth
 * @param runTimeFactor how much of its own running time extends the aim
 * @param priorityWeight what a job in time is worth
 * @param idempotency what a repeat does
 * @param idempotencyScope for keyed jobs, who drops repeats
 * @param idempotencyWindowUs for keyed jobs, for how long after the first send
 * @param workerKind the only kind of worker that runs it, or -1
 */
public record JobClass(
        long latencyObjectiveUs,
        double runTimeFactor,
        double priorityWeight,
        Idempotency idempotency,
        IdempotencyScope idempotencyScope,
        long idempotencyWindowUs,
        int workerKind) {}
