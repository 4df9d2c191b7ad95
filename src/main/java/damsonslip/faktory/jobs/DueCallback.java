package damsonslip.faktory.jobs;

/**
 * A callback that has become due.
 *
 * @param batch the batch in its new state
 * @param isSuccess whether it is the success callback; otherwise it is the completion callback
 */
public record DueCallback(Batch batch, boolean isSuccess) {
    /** The callback as JSON; empty if the batch has none. */
    public String job() {
        return isSuccess ? batch.success() : batch.complete();
    }
}
