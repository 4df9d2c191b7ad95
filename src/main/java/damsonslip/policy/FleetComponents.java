package damsonslip.policy;

/** Creates and connects the parts of the policy that track workers and select among them. */
final class FleetComponents {
    final WorkerListWatch listWatch;
    final WorkerRegistry registry;
    final SlotEstimates slots;
    final WorkerPools pools;
    final SlowStartBudget slowStart;
    final OutlierDetector outliers;
    final CapacityEstimator capacity;
    final LoadReportHandler loadReports;
    final WorkerAvailability availability;
    final WorkerEligibility eligibility;
    final IdempotencyRules idempotency;
    final WorkerSelector selector;
    final SlotBorrowing borrowing;
    final ProbeSender probeSender;
    final ProbeRounds probeRounds;

    FleetComponents(DecisionContext context) {
        listWatch = new WorkerListWatch(context);
        registry = new WorkerRegistry(context);
        slots = new SlotEstimates(context.settings().kinds());
        pools = new WorkerPools(context, slots);
        slowStart = new SlowStartBudget(context, slots);
        outliers = new OutlierDetector(context, registry);
        capacity = new CapacityEstimator(context, slots, slowStart);
        loadReports = new LoadReportHandler(capacity, outliers);
        availability = new WorkerAvailability(context, listWatch.discovery(), registry);
        eligibility = new WorkerEligibility(context, availability, outliers, slowStart);
        idempotency = new IdempotencyRules(context);
        selector =
                new WorkerSelector(context, registry, capacity, eligibility, outliers, idempotency);
        borrowing = new SlotBorrowing(context, pools, capacity, eligibility, selector);
        probeSender = new ProbeSender(context);
        probeRounds = new ProbeRounds(context, probeSender, slowStart);
    }
}
