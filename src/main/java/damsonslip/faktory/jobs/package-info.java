/**
 * The open jobs and the rules for moving them between states. Called by the Faktory frontend. Does
 * no I/O, reads no clock and starts no threads; the caller provides the source of randomness.
 *
 * <p>{@link damsonslip.faktory.jobs.JobTable} knows the set of each open job: queued, scheduled,
 * waiting for a retry, dead, or reserved by a worker; {@link
 * damsonslip.faktory.jobs.JobTransitions} lists the allowed state changes. {@link
 * damsonslip.faktory.jobs.RetryPolicy} decides what follows a failed run or an expired reservation,
 * and what happens at startup to a job found in the store. {@link
 * damsonslip.faktory.jobs.BatchTable} decides when the callbacks of a batch become due. {@link
 * damsonslip.faktory.jobs.Glob} matches patterns. The frontend carries out these decisions and
 * records them in the store.
 *
 * <p>Depends on the records of {@code store} and on the job classes of the scheduling policy.
 * Nothing here chooses a worker or rejects a job for lack of one: only the scheduling policy does.
 */
package damsonslip.faktory.jobs;
