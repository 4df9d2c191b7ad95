package damsonslip.policy.api;

/**
 * How a worker stands, as far as this dispatcher knows; {@code pool} is a class or -1, {@code
 * coldPartUs} the work that it may send there in the window at hand while the worker is cold, in
 * microseconds of slots.
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
