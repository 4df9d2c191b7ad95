package damsonslip.policy;

/**
 * Searches for the number of jobs of a class that may be present at once, by the revenue of an
 * M/M/n/K queue.
 *
 * <p>The threshold K is raised while the revenue {@code V(K) = lambda * sum of p_j * c * P(W_j <=
 * q)} over {@code j < K} grows by more than {@code epsilon * lambda * c}. Here lambda is the
 * arrival rate, p_j the probability that j jobs are present, W_j the response time of a job that
 * finds j others, q the latency objective, and c the value of a job that meets it. Each step takes
 * constant time.
 *
 * <p>All rates and times use the same unit of time; the callers use seconds. An instance holds the
 * state of one search.
 */
final class AdmissionThreshold {
    /**
     * The search stops when a step adds less than this fraction of the value of all arriving jobs.
     */
    static final double EPSILON = 1e-4;

    /**
     * Upper limit of the search: jobs that find more than this many jobs per slot are late in any
     * case.
     */
    private static final int MAX_JOBS_PER_SLOT = 8;

    /** The probabilities are rescaled when their sum exceeds this, so that they stay finite. */
    private static final double RESCALE_ABOVE = 1e200;

    private final int slots;
    private final double arrivalRate;
    private final double serviceRate;
    private final double objective;

    /** P(W_j <= q) while a slot is free, that is, for j < n. */
    private final double inTimeWithoutQueue;

    /**
     * Logarithm of the Poisson probability that exactly i - 1 jobs end within q. Here and below j
     * >= n is the number of jobs present to be handled next, and i = j - n + 1 the number of jobs
     * that have to end before a slot comes free for the next arrival.
     */
    private double logPoisson;

    /** P(Erlang(i, n mu) > q): the slot comes free too late for the objective. */
    private double slotFreeTooLate;

    /** P(the slot comes free within q, but the job ends after q), for i - 1. */
    private double slotFreeButLate;

    /** p_j up to a common factor, which changes when the sums are rescaled. */
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
     * @param slots n, how many jobs of the class can run at once
     * @param arrivalRate lambda, jobs per second
     * @param serviceRate mu, jobs per second that one slot completes
     * @param objective q, seconds
     * @param jobValue c, value of a job that meets the objective
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

    /** P(W_j <= q) for the next j; has to be called once for each j, in ascending order. */
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
