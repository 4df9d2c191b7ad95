package damsonslip.policy;

/** How many jobs of a class may be present at once: the paper's search by revenue. */
final class AdmissionThreshold {
    /**
     * The threshold search stops when a step brings less than this part of what all jobs are worth.
     */
    static final double EPSILON = 1e-4;

    /**
     * No threshold above this many jobs for each slot: a queue this long is late whatever else
     * holds.
     */
    private static final int MOST_PER_SLOT = 8;

    private AdmissionThreshold() {}

    /**
     * The paper's search: K rises while V(K) = lambda sum_{j<K} p_j (c - c P(W_j > q)) grows by
     * more than epsilon (a part of lambda c), in M/M/n/K with the response-time measure. O(1) a
     * step.
     */
    static int search(int n, double lambda, double mu, double q, double c, double epsilon) {
        if (n < 1 || lambda <= 0) {
            return Math.max(1, n);
        }
        double servedInTime = -Math.expm1(-mu * q); // P(W_j <= q) while j < n
        double logPoisson = -n * mu * q; // log of e^(-n mu q) (n mu q)^k / k!, k jobs done in q
        double below = Math.exp(logPoisson); // P(Erlang(k, n mu) > q), k = j - n + 1
        double mixed = Math.exp(-mu * q); // P(Erlang(k) <= q, and the job's own time ends after q)
        double weight = 1; // p_j, unnormalised and rescaled
        double sum = 1;
        double earned = servedInTime;
        double best = -1;
        int most = MOST_PER_SLOT * n + 1;
        for (int k = 1; k <= most; k++) {
            // here sum = p_0 + .. + p_{k-1} and earned goes over the same j; p_k completes the norm
            double next = weight * lambda / (mu * Math.min(k, n));
            double v = lambda * c * earned / (sum + next);
            if (v - best <= epsilon * lambda * c) {
                return Math.max(1, k - 1);
            }
            best = v;
            weight = next;
            sum += weight;
            double inTime = servedInTime;
            if (k >= n) {
                int ahead = k - n + 1;
                double poisson = Math.exp(logPoisson);
                mixed =
                        n == 1
                                ? poisson * mu * q / ahead
                                : Math.max(0, (mixed - poisson) * n / (n - 1));
                inTime = Math.max(0, 1 - below - mixed);
                logPoisson += Math.log(n * mu * q / ahead);
                below += Math.exp(logPoisson);
            }
            earned += weight * inTime;
            if (sum > 1e200) {
                weight /= sum;
                earned /= sum;
                sum = 1;
            }
        }
        return most;
    }
}
