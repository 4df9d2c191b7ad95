package damsonslip.policy;

import damsonslip.policy.api.Send;

/** Sends jobs to workers and reserves their slots, memory and slow-start budget there. */
final class AttemptSender {
    private static final long NO_TIMEOUT = 0;

    private final DecisionContext context;
    private final SlowStartBudget slowStart;
    private final AttemptMigration migration;

    AttemptSender(DecisionContext context, SlowStartBudget slowStart, AttemptMigration migration) {
        this.context = context;
        this.slowStart = slowStart;
        this.migration = migration;
    }

    /** Starts an attempt of the job at a worker. */
    void send(Job job, Worker worker) {
        JobAttempt attempt = new JobAttempt(job, worker, context.nowUs());
        job.attemptSent(attempt);
        worker.outstanding().add(attempt);
        worker.load().changeOwnSlots(job.slots(), context.nowUs());
        worker.load().reserveMemory(job.memory());
        slowStart.spend(worker, SlowStartBudget.costUs(job));
        context.emit(new Send(job.id(), worker.id(), NO_TIMEOUT));
        migration.scheduleCheck(job);
    }
}
