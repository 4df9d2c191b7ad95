package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.Ledger.Finding;
import java.util.List;

/**
 * Result of a run.
 *
 * @param requests number of requests sent completely
 * @param served number of them answered with 200
 * @param closedKept number of reused connections that ended during a request, where the close may
 *     have crossed the request
 * @param violations number of violations that the schedulers' own invariant checks logged
 * @param longestStallUs the longest stall of the soak's own process
 * @param cpuUs processor time of the schedulers per request
 * @param findings broken rules
 */
record Verdict(
        int requests,
        int served,
        int closedKept,
        long violations,
        long longestStallUs,
        long cpuUs,
        List<Finding> findings) {
    boolean passed() {
        return findings.isEmpty();
    }
}
