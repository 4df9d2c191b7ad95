package damsonslip.policy;

import damsonslip.membership.StartTimes;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.SlowStartLoad;

/**
 * Bounds the work that a worker is sent while it warms up (rule 4, slow start).
 *
 * <p>The budget is cut into windows. Each scheduler spends an even share of it in each; where a
 * share does not hold one job, the schedulers take turns by number, each with the shares of all
 * windows until its next turn. What is not spent is lost, so that no burst builds up.
 *
 * <p>Costs and budgets are microseconds of slots; times are microseconds of the events' clock.
 */
final class SlowStartBudget {
    /** Work that a new connection or a probe is taken to cost. */
    static final double CONNECTION_COST_US = 3_000;

    /** Part of the budget that is spent: job times are guesses, and windows overlap by two. */
    private static final double BUDGET_FRACTION = 0.4;

    private final DecisionContext context;
    private final Guarantees guarantees;
    private final SlotEstimates slots;

    SlowStartBudget(DecisionContext context, SlotEstimates slots) {
        this.context = context;
        this.guarantees = context.settings().guarantees();
        this.slots = slots;
    }

    /** Work that a job is taken to cost. */
    static double costUs(Job job) {
        return job.homePool().runTimes().meanUs() * job.slots() + CONNECTION_COST_US;
    }

    /** Whether the worker has not reached its full capacity yet. */
    boolean isWarmingUp(Worker worker) {
        return guarantees.slowStartShare() < 1
                && worker.startedUs() != StartTimes.LONG_AGO
                && context.nowUs() - worker.startedUs() < guarantees.slowStartUs();
    }

    /** The share of its full capacity that a worker that warms up has by now. */
    double capacityShare(Worker worker) {
        return guarantees.slowStartShareAt(context.nowUs() - worker.startedUs());
    }

    /** Whether work of this cost may be sent there now. */
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

    /** Records that work of this cost is sent there. */
    void spend(Worker worker, double costUs) {
        long window = isWarmingUp(worker) ? window(worker) : SlowStartWindow.NONE;
        worker.slowStartWindow().spend(window, costUs);
    }

    /** Spends the cost of a probe if the worker may be sent it now; returns whether. */
    boolean trySpendProbe(Worker worker) {
        boolean allowed = allows(worker, CONNECTION_COST_US);
        if (allowed) {
            spend(worker, CONNECTION_COST_US);
        }
        return allowed;
    }

    /** This scheduler's share of the budget in the window at hand. */
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

    /** What was sent there from here in the window at hand, and what it bears from all. */
    SlowStartLoad load(Worker worker, WorkerPool pool) {
        double requestUs = pool.runTimes().meanUs() + CONNECTION_COST_US;
        double spentUs = worker.slowStartWindow().spentUs(window(worker));
        int schedulers = context.settings().schedulers();
        return new SlowStartLoad(
                spentUs / requestUs,
                windowBudgetUs(worker) / BUDGET_FRACTION * schedulers / requestUs);
    }
}
