package damsonslip.policy.api;

/**
 * A job class.
 *
 * @param latencyObjectiveUs a job counts in full if it is answered within this time and {@code
 *     runTimeFactor} times its run time
 * @param runTimeFactor part of the run time that extends the objective, 0 or more
 * @param priorityWeight what a job that meets the objective is worth
 * @param idempotency what happens if a job runs twice
 * @param idempotencyScope for {@link Idempotency#IDEMPOTENT_WITH_KEY}, who drops repeats
 * @param idempotencyWindowUs for the same, for how long after the first send
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
