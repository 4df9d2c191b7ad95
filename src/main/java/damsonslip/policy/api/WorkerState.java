package damsonslip.policy.api;

/**
 * State of a worker as this scheduler knows it, for people to read.
 *
 * @param paused whether nothing is sent there after a failure, or because it was full
 * @param outstanding own attempts that have not ended
 * @param freeSlots free slots, estimated; below 0 if own jobs wait there to start
 * @param pool index of the job class that it is dealt to, or -1
 * @param slowStartBudgetUs work that may be sent there in the window at hand while it warms up, in
 *     microseconds of slots; else 0
 */
public record WorkerState(
        String id,
        int zone,
        int kind,
        boolean running,
        boolean warmingUp,
        boolean paused,
        int outstanding,
        double freeSlots,
        int pool,
        double slowStartBudgetUs) {}
