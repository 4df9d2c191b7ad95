/**
 * All decisions of one scheduler: which jobs are admitted, when and where they are sent, what
 * follows when an attempt ends, and which workers are probed.
 *
 * <p>{@link damsonslip.policy.SchedulingPolicy} is the entry. It is called by the engine on its
 * event loop, by the simulator's adapter, and by programs that embed the scheduler. It takes the
 * events of {@link damsonslip.policy.api} and returns actions.
 *
 * <p>Who owns which state:
 *
 * <ul>
 *   <li>workers: {@code WorkerRegistry} their entries on the worker list, {@code WorkerLoad} slots
 *       and memory in use, {@code WorkerHealth} failures and pauses, {@code SlowStartWindow} what
 *       was sent while warming up
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
