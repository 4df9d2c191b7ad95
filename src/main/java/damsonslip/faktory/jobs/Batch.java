package damsonslip.faktory.jobs;

/**
 * A batch of jobs. Immutable; stored as JSON under the names of its components.
 *
 * @param bid its id
 * @param parent the id of the enclosing batch; empty if there is none
 * @param description free text from its creator
 * @param success the job to push as the success callback, as JSON; empty if there is none
 * @param complete the job to push as the completion callback, as JSON; empty if there is none
 * @param committed whether its creator has finished pushing jobs
 * @param total the number of jobs pushed into it
 * @param onComplete the state of the completion callback
 * @param onSuccess the state of the success callback
 * @param createdMs when it was created, in milliseconds since the Unix epoch
 */
public record Batch(
        String bid,
        String parent,
        String description,
        String success,
        String complete,
        boolean committed,
        int total,
        CallbackState onComplete,
        CallbackState onSuccess,
        long createdMs) {
    private static final String SUCCESS_SUFFIX = "-success";
    private static final String COMPLETE_SUFFIX = "-complete";

    Batch withCommitted(boolean isCommitted) {
        return new Batch(
                bid,
                parent,
                description,
                success,
                complete,
                isCommitted,
                total,
                onComplete,
                onSuccess,
                createdMs);
    }

    Batch withTotal(int jobs) {
        return new Batch(
                bid,
                parent,
                description,
                success,
                complete,
                committed,
                jobs,
                onComplete,
                onSuccess,
                createdMs);
    }

    Batch withCallbackState(boolean isSuccess, CallbackState state) {
        return new Batch(
                bid,
                parent,
                description,
                success,
                complete,
                committed,
                total,
                isSuccess ? onComplete : state,
                isSuccess ? state : onSuccess,
                createdMs);
    }

    /**
     * The job id of a callback. It is derived from the batch id, so that a repeated push of the
     * same callback is detected as a duplicate.
     *
     * @param isSuccess whether it is the success callback; otherwise it is the completion callback
     */
    public String callbackJobId(boolean isSuccess) {
        return bid + (isSuccess ? SUCCESS_SUFFIX : COMPLETE_SUFFIX);
    }

    /** Whether the callback with this job id is a success callback. */
    public static boolean isSuccessCallback(String jobId) {
        return jobId.endsWith(SUCCESS_SUFFIX);
    }
}
