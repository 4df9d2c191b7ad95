package damsonslip.faktory.jobs;

/**
 * A callback that has become due.
 *
 * @param batch the batch, in which the callback is already marked as due
 * @param isSuccess whether it is the success callback; otherwise it is the completion callback
 */
public record DueCallback(Batch batch, boolean isSuccess) {
    /** The job to push, as JSON; empty if the batch has no such callback. */
    public String job() {
        return isSuccess ? batch.success() : batch.complete();
    }
}
