/**
 * All decisions of one scheduler: which jobs are admitted, when and where they are sent, what
 * happens when an attempt ends, and which workers are probed.
 *
 * <p>{@link damsonslip.policy.SchedulingPolicy} is the entry point. It is called by the engine on
 * its event loop, by the simulator's adapter, and by programs that embed the scheduler. It handles
 * the events of {@link damsonslip.policy.api} and returns actions.
 *
 * <p>Four rules bind every decision; {@link damsonslip.policy.api.Guarantees} holds their figures:
 *
 * <ol>
 *   <li>Each job gets one final answer, in time for the client's deadline.
 *   <li>No job takes effect twice: a job that may have run is sent again only as far as it is
 *       idempotent.
 *   <li>Jobs are sent only while a valid worker list, or a worker's lease, allows it, and not to
 *       draining workers.
 *   <li>All schedulers together do not overload a worker that warms up (slow start).
 * </ol>
 *
 * <p>Terms:
 *
 * <ul>
 *   <li>own jobs, own slots: those of this scheduler, as opposed to the other schedulers that share
 *       the workers
 *   <li>home pool of a job: the pool of its class
 *   <li>lease: permission to send to one worker for a limited time while no worker list is valid;
 *       it follows from the worker's answer to a probe
 *   <li>kind: a type of worker; cell: a group of workers that may share idempotency keys
 * </ul>
 *
 * <p>Who owns which state:
 *
 * <ul>
 *   <li>workers: {@code WorkerRegistry} their entries on the worker list, {@code WorkerLoad} slots
 *       and memory in use, {@code WorkerHealth} failures and pauses, {@code SlowStartWindow} work
 *       sent to it while it warms up
 *   <li>job classes: {@code WorkerPool} members, estimates, threshold and admission queue
 *   <li>jobs: {@code ActiveJobs}, {@code Job} and {@code JobAttempt}
 * </ul>
 *
 * <p>Who decides what:
 *
 * <ul>
 *   <li>admission: {@code AdmissionControl} with {@code TenantQuotas} and {@code
 *       AdmissionThreshold}
 *   <li>the queue: {@code QueueDispatcher}, {@code SlotBorrowing}
 *   <li>the worker: {@code WorkerSelector}, {@code WorkerEligibility} with {@code OutlierDetector},
 *       {@code SlowStartBudget} and {@code WorkerAvailability}, {@code CapacityEstimator}
 *   <li>retries and answers: {@code AttemptResults}, {@code IdempotencyRules}, {@code
 *       AttemptMigration}, {@code JobCompletion}
 *   <li>pools: {@code PoolDealer}, {@code WorkerPools}
 *   <li>probes: {@code ProbeRounds}, {@code CandidateProbing}, {@code LeaseProbing}
 * </ul>
 *
 * <p>No clock, I/O, threads or shared state; randomness comes from a seed. Depends on {@code
 * policy.api} and {@code membership} alone.
 */
package damsonslip.policy;
