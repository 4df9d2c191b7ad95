package damsonslip.platform.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.platform.codec.ResponseHead;
import damsonslip.policy.api.AttemptOutcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The outcomes of responses without a final line. */
class CompletedResponseTest {
    @ParameterizedTest
    @CsvSource({
        "200, false, true, RESET",
        "200, true, true, RESET",
        "500, false, true, ERROR",
        "500, true, true, ERROR",
        "503, false, true, ERROR",
        "503, true, true, FULL",
        "504, true, true, FULL",
        "503, true, false, RESET",
        "503, false, false, ERROR"
    })
    void classifiesByStatusMarkerAndTrust(
            int status, boolean notExecuted, boolean trusted, AttemptOutcome outcome) {
        ResponseHead head = new ResponseHead(status, null, notExecuted);
        assertEquals(outcome, CompletedResponse.outcome(head, trusted));
    }
}
