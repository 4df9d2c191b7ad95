package damsonslip.policy.api;

import java.util.function.Predicate;

/**
 * A client's job has arrived.
 *
 * @param job id, which no job that is still active has
 * @param jobClass index of its class in the settings
 * @param tenant index of its tenant's quota in the settings; 0 if there are none
 * @param affinityKey the program or data set that it uses, or null
 * @param deadlineUs when the client stops waiting for an answer
 * @param slots slots that it takes at a worker, at least 1
 * @param memory memory that it needs, in the unit of the load reports
 * @param maxRuns maximum number of attempts that may have run, if its class allows that many
 * @param eligibleWorkers accepts the ids of the workers that can run it; null if all can
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
    /** Checks the ranges. */
    public JobArrived {
        Requirements.require(job != null, "a job without an id");
        Requirements.require(slots >= 1, "a job needs at least 1 slot: " + slots);
        Requirements.require(maxRuns >= 1, "a job must be allowed at least 1 run: " + maxRuns);
    }

    /** Creates a job that any worker can run, as often as its class allows. */
    public JobArrived(
            String job,
            int jobClass,
            int tenant,
            Long affinityKey,
            long deadlineUs,
            int slots,
            double memory) {
        this(
                job,
                jobClass,
                tenant,
                affinityKey,
                deadlineUs,
                slots,
                memory,
                Integer.MAX_VALUE,
                null);
    }

    /** Returns whether this worker can run it. */
    public boolean isEligible(String worker) {
        return eligibleWorkers == null || eligibleWorkers.test(worker);
    }
}
