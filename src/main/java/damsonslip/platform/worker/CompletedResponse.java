package damsonslip.platform.worker;

import damsonslip.platform.codec.ResponseHead;
import damsonslip.policy.api.AttemptOutcome;

/** Judges a worker's response that is complete without a final line on the job. */
final class CompletedResponse {
    private CompletedResponse() {}

    /**
     * What the response proves of the attempt.
     *
     * @param trusted whether the response certainly belongs to the attempt, or a second run would
     *     do no harm
     */
    static AttemptOutcome outcome(ResponseHead head, boolean trusted) {
        if (head.isOk()) { // as little as a connection that breaks
            return AttemptOutcome.RESET;
        }
        if (!head.isRejection()) {
            return AttemptOutcome.ERROR;
        }
        return trusted ? AttemptOutcome.FULL : AttemptOutcome.RESET;
    }
}
