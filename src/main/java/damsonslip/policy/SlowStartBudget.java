package damsonslip.policy;

import damsonslip.membership.StartTimes;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.SlowStartLoad;

/**
 * Limits the work that is sent to a worker while it warms up (slow start), so that all schedulers
 * together do not overload it.
 *
 * <p>The time since the worker's start is divided into windows, each with a budget. Each scheduler
 * may spend an equal share of a window's budget. Where a share is smaller than the cost of a job,
 * the schedulers take turns by index: each sends only in every n-th window, and may then spend its
 * shares of n windows. Budget that is not spent expires, so that no burst builds up.
 *
 * <p>Costs and budgets are in slot-microseconds: one slot in use for one microsecond. Times are
 * microseconds of the events' clock.
 */
final class SlowStartBudget {
    /** Assumed cost of a new connection or a probe. */
    static final double CONNECTION_COST_US = 3_000;

    /**
     * Fraction of the overload limit that is budgeted: run times are estimates, and any period as
     * long as a window may overlap two windows.
     */
    private static final double BUDGET_FRACTION = 0.4;

    private final DecisionContext context;
    private final Guarantees guarantees;
    private final SlotEstimates slots;

    SlowStartBudget(DecisionContext context, SlotEstimates slots) {
        this.context = context;
        this.guarantees = context.settings().guarantees();
        this.slots = slots;
    }

    /** Estimated cost of a job, including a new connection. */
    static double costUs(Job job) {
        return job.homePool().runTimes().meanUs() * job.slots() + CONNECTION_COST_US;
    }

    /** Whether the worker has not reached its full capacity yet. */
    boolean isWarmingUp(Worker worker) {
        return guarantees.slowStartShare() < 1
                && worker.startedUs() != StartTimes.LONG_AGO
                && context.nowUs() - worker.startedUs() < guarantees.slowStartUs();
    }

    /** The share of its full capacity that a warming-up worker has by now. */
    double capacityShare(Worker worker) {
        return guarantees.slowStartShareAt(context.nowUs() - worker.startedUs());
    }

    /** Whether work of this cost may be sent to the worker now. */
    boolean allows(Worker worker, double costUs) {
        if (!isWarmingUp(worker)) {
            return true;
        }
        long window = window(worker);
        double windowBudgetUs = windowBudgetUs(worker);
        long turns = Math.max(1, (long) Math.ceil(costUs / windowBudgetUs));
        long turn = Math.floorMod(window + worker.slowStartTurnOffset(), turns);
        long ownTurn = Math.floorMod((long) context.settings().schedulerIndex(), turns);
        return turn == ownTurn
                && worker.slowStartWindow().spentUs(window) + costUs <= windowBudgetUs * turns;
    }

    /** Records that work of this cost is sent to the worker. */
    void spend(Worker worker, double costUs) {
        long window = isWarmingUp(worker) ? window(worker) : SlowStartWindow.NONE;
        worker.slowStartWindow().spend(window, costUs);
    }

    /** Spends the cost of a probe if the worker may be sent one now; returns whether it may. */
    boolean trySpendProbe(Worker worker) {
        boolean allowed = allows(worker, CONNECTION_COST_US);
        if (allowed) {
            spend(worker, CONNECTION_COST_US);
        }
        return allowed;
    }

    /** This scheduler's share of the worker's budget in the current window. */
    double windowBudgetUs(Worker worker) {
        long windowUs = guarantees.overloadWindowUs();
        double capacityShare = guarantees.slowStartShareAt(window(worker) * windowUs);
        double fleetBudgetUs =
                BUDGET_FRACTION
                        * guarantees.overloadFactor()
                        * capacityShare
                        * slots.provenSlotsOf(worker)
                        * windowUs;
        return fleetBudgetUs / context.settings().schedulers();
    }

    private long window(Worker worker) {
        return Math.floorDiv(context.nowUs() - worker.startedUs(), guarantees.overloadWindowUs());
    }

    /**
     * The load that this scheduler has sent to the worker in the current window, and the overload
     * limit for all schedulers together.
     */
    SlowStartLoad load(Worker worker, WorkerPool pool) {
        double requestUs = pool.runTimes().meanUs() + CONNECTION_COST_US;
        double spentUs = worker.slowStartWindow().spentUs(window(worker));
        int schedulers = context.settings().schedulers();
        return new SlowStartLoad(
                spentUs / requestUs,
                windowBudgetUs(worker) / BUDGET_FRACTION * schedulers / requestUs);
    }
}
