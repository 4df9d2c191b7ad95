package damsonslip.policy.api;

/**
 * A job class.
 *
 * @param latencyObjectiveUs latency objective: a job meets it if it is answered within this time
 *     plus {@code runTimeFactor} times its run time
 * @param runTimeFactor multiple of the run time that is added to the objective, 0 or more
 * @param priorityWeight value of a job that meets the objective
 * @param idempotency what happens if a job runs twice
 * @param idempotencyScope for {@link Idempotency#IDEMPOTENT_WITH_KEY}, which workers drop repeats
 * @param idempotencyWindowUs for the same, for how long after the first attempt was sent
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
