package damsonslip.store;

/**
 * What a {@link StoreOperation} writes: one job, with its record and body, or one value of a
 * scheduler's metadata. Operations on the same key reach the store in the order of their
 * submission.
 *
 * @param kind {@link #JOB}, or the kind of the metadata
 * @param id the job's id, or the key of the metadata
 */
record StoreKey(String kind, String id) {
    /** The kind of jobs, which no kind of metadata has. */
    static final String JOB = "";

    static StoreKey ofJob(String id) {
        return new StoreKey(JOB, id);
    }
}
