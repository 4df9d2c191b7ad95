/**
 * The open jobs and the rules for moving them between states. Called by the Faktory front. No I/O,
 * no clock, no threads; randomness comes from the caller.
 *
 * <p>{@link damsonslip.faktory.jobs.JobTable} knows the set of each open job: queued, scheduled,
 * waiting for a retry, dead, or reserved by a worker; {@link
 * damsonslip.faktory.jobs.JobTransitions} lists the states that each may move to. {@link
 * damsonslip.faktory.jobs.RetryPolicy} decides what follows when a run failed, when its reservation
 * expired, or when a job is found in the store at a start. {@link
 * damsonslip.faktory.jobs.BatchTable} decides when the callbacks of a batch are due. {@link
 * damsonslip.faktory.jobs.Glob} matches patterns. The front carries their decisions out and records
 * them in the store.
 *
 * <p>Depends on {@code store}'s records and the module's job classes. Nothing here chooses a worker
 * or rejects a job for lack of one: that is up to the decision module alone.
 */
package damsonslip.faktory.jobs;
