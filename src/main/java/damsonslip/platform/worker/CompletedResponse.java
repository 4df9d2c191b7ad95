package damsonslip.platform.worker;

import damsonslip.platform.codec.ResponseHead;
import damsonslip.policy.api.AttemptOutcome;

/** Classifies a worker's response that is complete but has no final line on the job. */
final class CompletedResponse {
    private CompletedResponse() {}

    /**
     * The outcome of the attempt, as far as the response proves it.
     *
     * @param trusted whether the response certainly belongs to the attempt, or the job may run
     *     twice
     */
    static AttemptOutcome outcome(ResponseHead head, boolean trusted) {
        if (head.isOk()) { // proves as little as a broken connection
            return AttemptOutcome.RESET;
        }
        if (!head.isRejection()) {
            return AttemptOutcome.ERROR;
        }
        return trusted ? AttemptOutcome.FULL : AttemptOutcome.RESET;
    }
}
