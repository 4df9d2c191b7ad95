/**
 * The sets of jobs and what becomes of the jobs in them: no I/O, no clock, no threads, and randomness only from a seed.
 *
 * <p>{@link damsonslip.faktory.sets.Ledger} knows where each open job is: in its queue, scheduled, up for a retry, dead,
 * or with a worker. It holds records, never bodies. {@link damsonslip.faktory.sets.Fate} says what becomes of a job that
 * failed, whose reservation ran out, or that was found in the store at a start. {@link damsonslip.faktory.sets.Batches}
 * says when a batch's callbacks are due. {@link damsonslip.faktory.sets.Glob} matches patterns. The front carries out
 * what they say, and writes it to the store.
 *
 * <p>None of them chooses a worker or turns a job away from one: that is the decision module's alone.
 */
package damsonslip.faktory.sets;
