package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.Ledger.Finding;
import java.util.List;

/**
 * What a run showed.
 *
 * @param requests how many requests were sent whole
 * @param served how many of them were answered with 200
 * @param closedKept how many kept connections ended under a request, which may be a crossing
 * @param reported what the schedulers' own guards counted
 * @param longestHoldUpUs the longest time for which the soak's own process was held up
 * @param cpuUs processor time of the schedulers for each request
 * @param findings broken rules
 */
record Verdict(
        int requests,
        int served,
        int closedKept,
        long reported,
        long longestHoldUpUs,
        long cpuUs,
        List<Finding> findings) {
    boolean passed() {
        return findings.isEmpty();
    }
}
