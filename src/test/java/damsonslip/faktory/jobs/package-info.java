/** Tests of the job table, the retry policy, batches and glob patterns, without I/O or clock. */
package damsonslip.faktory.jobs;
