package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;

/**
 * Decides whether jobs may be sent at all: while the worker list is valid, or else to workers that
 * hold a lease from their own answers to probes.
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

    /** Whether the worker list is valid and may be used. */
    boolean isListValid() {
        return discovery.isUsable(context.nowUs());
    }

    /** Whether the worker list or the worker's lease is valid. */
    boolean mayUse(Worker worker) {
        return isListValid() || (usesLeases() && worker.lease().isValid(context.nowUs()));
    }

    /**
     * Whether leases may be used now: the settings and the drain grace allow it, and discovery has
     * been failing for a short time only.
     */
    boolean usesLeases() {
        return context.settings().leasesWorkersByProbe()
                && discovery.graceUs() > 0
                && discovery.mayProbeWorkers(context.nowUs());
    }

    /**
     * Whether a job may wait for a worker: the worker list or some worker's lease is valid or may
     * soon become so.
     */
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

    /**
     * Whether the worker can get a lease at all. One of this scheduler's zone has to answer over a
     * connection that has lasted since the last contact with discovery, so there has to have been
     * one.
     */
    private boolean canQualifyForLease(Worker worker) {
        return worker.zone() != context.settings().zone() || discovery.hasHadContact();
    }
}
