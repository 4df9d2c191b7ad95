package damsonslip.policy.api;

import java.util.function.Predicate;

/**
 * A client's job; {@code subject} is null where jobs belong to no program or data set, and {@code
 * mostRuns} bounds the attempts that may have run below what its class allows; {@code fits} tells
 * which workers can take the job at all, by id, and is null if each can.
 */
public record JobArrived(
        String job,
        int jobClass,
        int tenant,
        Long affinityKey,
        long deadlineUs,
        int slots,
        double memory,
        int maxRuns,
        Predicate<String> eligibleWorkers)
        implements Event {
    public JobArrived {
        Requirements.require(job != null, "a job without an id");
        Requirements.require(slots >= 1, "slots of a job: " + slots);
        Requirements.require(maxRuns >= 1, "runs of a job: " + maxRuns);
    }

    public JobArrived(
            String job,
            int jobClass,
            int tenant,
            Long subject,
            long deadlineUs,
            int slots,
            double memory) {
        this(job, jobClass, tenant, subject, deadlineUs, slots, memory, Integer.MAX_VALUE, null);
    }

    /** Whether this worker can take it. */
    public boolean eligibleWorkers(String worker) {
        return eligibleWorkers == null || eligibleWorkers.test(worker);
    }
}
