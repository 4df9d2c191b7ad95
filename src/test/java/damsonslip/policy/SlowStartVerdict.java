package damsonslip.policy;

import java.util.Arrays;
import java.util.List;

/**
 * The window after a worker's start in which the work that it received came closest to the
 * slow-start bound.
 *
 * @param ratio work in the window as a fraction of the bound
 * @param knownShare fraction of that work whose senders knew of the start
 * @param violatesRule whether the first overload, if there was one, violates the slow-start rule
 */
record SlowStartVerdict(
        String worker,
        long startUs,
        long ageUs,
        double ratio,
        double knownShare,
        boolean violatesRule,
        int requests) {
    /**
     * An overload violates the rule if more than this fraction of the work came from schedulers
     * that knew of the start.
     */
    private static final double MAX_KNOWN_SHARE = 2.0 / 3;

    /** Checks the work that a worker received after a start. */
    static SlowStartVerdict of(
            SimulatedDeployment deployment,
            String id,
            long start,
            List<SimulatedWorker.Load> loads) {
        double[] inWindow = new double[2];
        int from = 0;
        SlowStartVerdict worst = new SlowStartVerdict(id, start, 0, 0, 0, false, loads.size());
        boolean overloaded = false;
        boolean violatesRule = false;
        for (SimulatedWorker.Load load : loads) {
            long age = load.at() - start;
            if (age >= deployment.guarantees().slowStartUs()) {
                break;
            }
            inWindow[load.senderKnewStart() ? 1 : 0] += load.work();
            for (;
                    loads.get(from).at() <= load.at() - deployment.guarantees().overloadWindowUs();
                    from++) {
                inWindow[loads.get(from).senderKnewStart() ? 1 : 0] -= loads.get(from).work();
            }
            double sum = Arrays.stream(inWindow).sum();
            double ratio = sum / deployment.meanWork() / deployment.overloadBound(age);
            violatesRule |= !overloaded && ratio > 1 && inWindow[1] > MAX_KNOWN_SHARE * sum;
            overloaded |= ratio > 1;
            if (ratio > worst.ratio()) {
                worst =
                        new SlowStartVerdict(
                                id, start, age, ratio, inWindow[1] / sum, false, loads.size());
            }
        }
        return new SlowStartVerdict(
                id,
                start,
                worst.ageUs(),
                worst.ratio(),
                worst.knownShare(),
                violatesRule,
                loads.size());
    }
}
