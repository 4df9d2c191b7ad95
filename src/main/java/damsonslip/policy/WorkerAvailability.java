package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;

/**
 * Whether the worker list, or a worker's own answers while no list is valid, allow to send jobs
 * (rule 3).
 */
final class WorkerAvailability {
    private final DecisionContext context;
    private final DiscoveryWatch discovery;
    private final WorkerRegistry registry;

    WorkerAvailability(DecisionContext context, DiscoveryWatch discovery, WorkerRegistry registry) {
        this.context = context;
        this.discovery = discovery;
        this.registry = registry;
    }

    /** Whether the list is valid. */
    boolean isListValid() {
        return discovery.isUsable(context.nowUs());
    }

    /** Whether the worker may be sent to, by the list or by its lease. */
    boolean mayUse(Worker worker) {
        return isListValid() || (usesLeases() && worker.lease().isValid(context.nowUs()));
    }

    /** Whether a worker may be probed for a lease: it promises to take work for a while. */
    boolean usesLeases() {
        return context.settings().leasesWorkersByProbe()
                && discovery.graceUs() > 0
                && discovery.mayProbeWorkers(context.nowUs());
    }

    /** Whether a job may wait: a list is valid or may come soon, or a lease may. */
    boolean mayWait() {
        return discovery.mayBecomeUsable(context.nowUs())
                || (usesLeases() && registry.all().stream().anyMatch(this::mayGetLease));
    }

    private boolean mayGetLease(Worker worker) {
        return worker.isRunning()
                && canQualifyForLease(worker)
                && worker.lease().mayBecomeValid(discovery.lastContactUs(), context.nowUs());
    }

    /** Whether a probe of this worker may lead to a lease. */
    boolean isWorthProbing(Worker worker) {
        return canQualifyForLease(worker)
                && worker.lease().isWorthProbing(discovery.lastContactUs(), context.nowUs());
    }

    /** A worker of the own zone has to show a connection since discovery was last heard. */
    private boolean canQualifyForLease(Worker worker) {
        return worker.zone() != context.settings().zone() || discovery.hasHadContact();
    }
}
