package damsonslip.policy;

import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;

/** Sends probes and records their results in the workers' leases. */
final class ProbeSender {
    private static final long ANY_CONNECTION = Long.MAX_VALUE;

    private final DecisionContext context;

    ProbeSender(DecisionContext context) {
        this.context = context;
    }

    /** Probes a worker over any connection to it. */
    void send(Worker worker) {
        send(worker, ANY_CONNECTION);
    }

    /**
     * Probes a worker for a lease. A worker of this scheduler's zone has to answer over a
     * connection that has been open since this time.
     */
    void sendForLease(Worker worker, long connectedSinceUs) {
        boolean ownZone = worker.zone() == context.settings().zone();
        send(worker, ownZone ? connectedSinceUs : ANY_CONNECTION);
    }

    private void send(Worker worker, long connectedBeforeUs) {
        worker.lease().probeSent(context.nowUs());
        context.emit(new ProbeWorker(worker.id(), connectedBeforeUs));
    }

    /**
     * Records the end of a probe. A worker of another zone was not cut off from discovery together
     * with this scheduler, so its answer over any connection counts like one over a lasting
     * connection.
     *
     * @param graceUs how long after a drain is known the worker may still be sent to
     */
    void ended(Worker worker, ProbeEnded probe, long graceUs) {
        boolean otherZone = worker.zone() != context.settings().zone();
        ProbeResult result =
                probe.result().isHealthy() && otherZone
                        ? ProbeResult.HEALTHY_THROUGHOUT
                        : probe.result();
        worker.lease().probeEnded(result, graceUs, context.nowUs());
    }
}
