package damsonslip.policy;

/**
 * Searches how many jobs of a class may be present at once, by revenue in an M/M/n/K queue.
 *
 * <p>The threshold K rises while the revenue {@code V(K) = lambda * sum of p_j * c * P(W_j <= q)}
 * over {@code j < K} grows by more than epsilon, a part of {@code lambda * c}. There p_j is the
 * probability of j jobs present, W_j the response time of a job that finds j others, q the latency
 * objective and c the value of a job in time. Each step takes constant time.
 *
 * <p>Rates and times share one unit of time, here the second. An instance is the state of one
 * search.
 */
final class AdmissionThreshold {
    /** The search stops when a step adds less than this part of what all jobs are worth. */
    static final double EPSILON = 1e-4;

    /** A queue longer than this many jobs for each slot is late whatever else holds. */
    private static final int MAX_JOBS_PER_SLOT = 8;

    /** The probabilities are rescaled above this sum, so that they stay finite. */
    private static final double RESCALE_ABOVE = 1e200;

    private final int slots;
    private final double arrivalRate;
    private final double serviceRate;
    private final double objective;

    /** P(W_j <= q) while a slot is free, that is j < n. */
    private final double inTimeWithoutQueue;

    /** Logarithm of the Poisson probability of i jobs done within q, i = j - n + 1. */
    private double logPoisson;

    /** P(Erlang(i, n mu) > q): the slot comes free only after the objective. */
    private double slotFreeTooLate;

    /** P(Erlang(i, n mu) <= q, but the job itself ends after q). */
    private double slotFreeButLate;

    /** p_j, neither normalised nor on a fixed scale. */
    private double probability = 1;

    private double probabilitySum = 1;
    private double revenueSum;

    private AdmissionThreshold(
            int slots, double arrivalRate, double serviceRate, double objective) {
        this.slots = slots;
        this.arrivalRate = arrivalRate;
        this.serviceRate = serviceRate;
        this.objective = objective;
        this.inTimeWithoutQueue = -Math.expm1(-serviceRate * objective);
        this.logPoisson = -slots * serviceRate * objective;
        this.slotFreeTooLate = Math.exp(logPoisson);
        this.slotFreeButLate = Math.exp(-serviceRate * objective);
        this.revenueSum = inTimeWithoutQueue;
    }

    /**
     * Returns the threshold K, at least 1.
     *
     * @param slots number n of slots that serve the class
     * @param arrivalRate lambda, jobs a second
     * @param serviceRate mu, jobs a second and slot
     * @param objective q, seconds
     * @param jobValue c, what a job in time is worth
     */
    static int search(
            int slots,
            double arrivalRate,
            double serviceRate,
            double objective,
            double jobValue,
            double epsilon) {
        if (slots < 1 || arrivalRate <= 0) {
            return Math.max(1, slots);
        }
        AdmissionThreshold search =
                new AdmissionThreshold(slots, arrivalRate, serviceRate, objective);
        double best = -1;
        int max = MAX_JOBS_PER_SLOT * slots + 1;
        for (int threshold = 1; threshold <= max; threshold++) {
            double next = search.nextProbability(threshold);
            double revenue =
                    arrivalRate * jobValue * search.revenueSum / (search.probabilitySum + next);
            if (revenue - best <= epsilon * arrivalRate * jobValue) {
                return Math.max(1, threshold - 1);
            }
            best = revenue;
            search.advance(threshold, next);
        }
        return max;
    }

    private double nextProbability(int present) {
        return probability * arrivalRate / (serviceRate * Math.min(present, slots));
    }

    private void advance(int present, double nextProbability) {
        probability = nextProbability;
        probabilitySum += probability;
        revenueSum += probability * inTimeProbability(present);
        if (probabilitySum > RESCALE_ABOVE) {
            probability /= probabilitySum;
            revenueSum /= probabilitySum;
            probabilitySum = 1;
        }
    }

    /** P(W_j <= q) for the next j; has to be called once for each, in rising order. */
    private double inTimeProbability(int present) {
        if (present < slots) {
            return inTimeWithoutQueue;
        }
        int ahead = present - slots + 1;
        double poisson = Math.exp(logPoisson);
        slotFreeButLate =
                slots == 1
                        ? poisson * serviceRate * objective / ahead
                        : Math.max(0, (slotFreeButLate - poisson) * slots / (slots - 1));
        double inTime = Math.max(0, 1 - slotFreeTooLate - slotFreeButLate);
        logPoisson += Math.log(slots * serviceRate * objective / ahead);
        slotFreeTooLate += Math.exp(logPoisson);
        return inTime;
    }
}
