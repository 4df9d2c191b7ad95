package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;
import java.util.function.Predicate;

/** Probes workers for leases on behalf of queued jobs while no worker list is valid. */
final class LeaseProbing {
    private final DiscoveryWatch discovery;
    private final WorkerAvailability availability;
    private final WorkerEligibility eligibility;
    private final IdempotencyRules idempotency;
    private final WorkerSelector selector;
    private final SlowStartBudget slowStart;
    private final ProbeSender sender;

    LeaseProbing(
            DiscoveryWatch discovery,
            WorkerAvailability availability,
            WorkerEligibility eligibility,
            IdempotencyRules idempotency,
            WorkerSelector selector,
            SlowStartBudget slowStart,
            ProbeSender sender) {
        this.discovery = discovery;
        this.availability = availability;
        this.eligibility = eligibility;
        this.idempotency = idempotency;
        this.selector = selector;
        this.slowStart = slowStart;
        this.sender = sender;
    }

    /**
     * Probes the worker that the job would be sent to, unless the last probe on its behalf is still
     * outstanding or leases are not needed.
     */
    void probeFor(Job job) {
        if (!availability.usesLeases() || availability.isListValid() || awaitsLease(job)) {
            return;
        }
        Predicate<Worker> mayProbe =
                worker -> eligibility.couldTake(worker, job) && availability.isWorthProbing(worker);
        Worker worker =
                idempotency.mustStayInScope(job)
                        ? selector.selectInScope(job, mayProbe)
                        : selector.select(job.homePool(), job, false, mayProbe);
        if (worker != null && slowStart.trySpendProbe(worker)) {
            job.setLeaseCandidate(worker);
            sender.sendForLease(worker, discovery.lastContactUs());
        }
    }

    private static boolean awaitsLease(Job job) {
        return job.leaseCandidate() != null && job.leaseCandidate().lease().isProbeOutstanding();
    }
}
