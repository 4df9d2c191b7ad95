package damsonslip.policy.api;

/**
 * State of a worker as this scheduler knows it, for display to operators.
 *
 * @param paused whether no jobs are sent to it, after a failure or because it was full
 * @param outstanding own attempts that have not ended
 * @param freeSlots estimated free slots; below 0 if own jobs wait there to start
 * @param pool index of the job class that it is dealt to, or -1
 * @param slowStartBudgetUs while it warms up, work that this scheduler may send to it in the
 *     current window, in slot-microseconds; else 0
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
