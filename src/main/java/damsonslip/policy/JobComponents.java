package damsonslip.policy;

/** Creates and connects the parts of the policy that handle jobs from arrival to answer. */
final class JobComponents {
    final ActiveJobs jobs = new ActiveJobs();
    final TenantQuotas quotas;
    final AttemptMigration migration;
    final JobCompletion completion;
    final AttemptResults attemptResults;
    final QueueDispatcher queues;
    final AdmissionControl admission;

    JobComponents(DecisionContext context, FleetComponents fleet) {
        quotas = new TenantQuotas(context.settings().tenantQuotas().size());
        migration =
                new AttemptMigration(
                        context,
                        fleet.registry,
                        fleet.eligibility,
                        fleet.capacity,
                        fleet.idempotency,
                        fleet.outliers);
        completion = new JobCompletion(context, jobs, fleet.idempotency);
        attemptResults = newAttemptResults(context, fleet);
        AttemptSender sender = new AttemptSender(context, fleet.slowStart, migration);
        CandidateProbing candidates = newCandidateProbing(context, fleet);
        queues = newQueueDispatcher(context, fleet, sender, candidates);
        admission =
                new AdmissionControl(
                        context,
                        quotas,
                        fleet.availability,
                        fleet.capacity,
                        fleet.selector,
                        fleet.borrowing,
                        candidates,
                        queues,
                        sender,
                        completion);
    }

    private AttemptResults newAttemptResults(DecisionContext context, FleetComponents fleet) {
        return new AttemptResults(
                context,
                jobs,
                fleet.loadReports,
                fleet.capacity,
                fleet.outliers,
                fleet.idempotency,
                completion);
    }

    private static CandidateProbing newCandidateProbing(
            DecisionContext context, FleetComponents fleet) {
        return new CandidateProbing(
                context, fleet.probeSender, fleet.eligibility, fleet.outliers, fleet.slowStart);
    }

    private QueueDispatcher newQueueDispatcher(
            DecisionContext context,
            FleetComponents fleet,
            AttemptSender sender,
            CandidateProbing candidates) {
        LeaseProbing leases =
                new LeaseProbing(
                        fleet.listWatch.discovery(),
                        fleet.availability,
                        fleet.eligibility,
                        fleet.idempotency,
                        fleet.selector,
                        fleet.slowStart,
                        fleet.probeSender);
        return new QueueDispatcher(
                context,
                fleet.pools,
                fleet.availability,
                fleet.idempotency,
                fleet.selector,
                fleet.borrowing,
                candidates,
                leases,
                sender,
                completion);
    }
}
