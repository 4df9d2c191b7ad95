package damsonslip.policy;

import damsonslip.policy.FleetState.FreeSeen;
import damsonslip.policy.FleetState.Worker;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.SlowStartLoad;

/**
 * What a cold worker may be sent (rule 4, slow start). Its budget is cut into windows of the stated
 * length. Each dispatcher spends its even part of a part of it; where that does not hold one job,
 * dispatchers take turns, by number, with what their turn holds. What is not spent is lost, so
 * buckets start empty and no burst builds up.
 *
 * <p>Decides from what {@link Worker} holds; times are those of the events. Not safe for use by
 * several threads.
 */
final class SlowStartBudget {
    /**
     * Part of the stated budget that is spent: job times are guesses, and windows overlap by two.
     */
    private static final double PART = 0.4;

    private final Guarantees rules;

    SlowStartBudget(Guarantees rules) {
        this.rules = rules;
    }

    /** Whether the worker has not reached its full capacity yet. */
    boolean isCold(Worker w, long now) {
        return rules.slowStartShare() < 1
                && w.started != Long.MIN_VALUE
                && now - w.started < rules.slowStartUs();
    }

    /** Whether work of this cost may be sent there now. */
    boolean allows(Worker w, double cost, Settings settings, FreeSeen ofKind, long now) {
        if (!isCold(w, now)) {
            return true;
        }
        long turn = turn(w, now);
        double mine = part(w, settings, ofKind, now);
        long turns = Math.max(1, (long) Math.ceil(cost / mine));
        return Math.floorMod(turn + w.salt, turns)
                        == Math.floorMod((long) settings.schedulerIndex(), turns)
                && (w.coldTurn == turn ? w.coldSpent : 0) + cost <= mine * turns;
    }

    /** The part of the budget that is this dispatcher's, in the window at hand. */
    double part(Worker w, Settings settings, FreeSeen ofKind, long now) {
        double warmth = rules.slowStartShareAt(turn(w, now) * rules.overloadWindowUs());
        double all =
                PART * rules.overloadFactor() * warmth * w.shown(ofKind) * rules.overloadWindowUs();
        return all / settings.schedulers();
    }

    private long turn(Worker w, long now) {
        return Math.floorDiv(now - w.started, rules.overloadWindowUs());
    }

    /** Work of this cost has been sent there. */
    void spend(Worker w, double cost, long now) {
        long turn = isCold(w, now) ? turn(w, now) : -1;
        w.coldSpent = w.coldTurn == turn ? w.coldSpent + cost : cost;
        w.coldTurn = turn;
    }

    /**
     * What was sent there from here in the window, and what it bears there from all, in requests of
     * this length.
     */
    SlowStartLoad load(Worker w, Settings settings, FreeSeen ofKind, double requestUs, long now) {
        double spent = w.coldTurn == turn(w, now) ? w.coldSpent : 0;
        return new SlowStartLoad(
                spent / requestUs,
                part(w, settings, ofKind, now) / PART * settings.schedulers() / requestUs);
    }
}
