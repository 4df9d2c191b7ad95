/** Tests of the job table, the retry policy, the batches and the patterns, without I/O or clock. */
package damsonslip.faktory.jobs;
