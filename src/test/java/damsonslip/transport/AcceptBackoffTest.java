package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Delays after failed accepts. */
class AcceptBackoffTest {
    private final AcceptBackoff backoff = new AcceptBackoff();

    @Test
    void doublesUpToMaximumAndResetsAfterSuccess() {
        assertEquals(AcceptBackoff.INITIAL_DELAY_US, backoff.failed());
        assertEquals(2 * AcceptBackoff.INITIAL_DELAY_US, backoff.failed());
        for (int i = 0; i < 10; i++) {
            backoff.failed();
        }
        assertEquals(AcceptBackoff.MAX_DELAY_US, backoff.failed());
        backoff.succeeded();
        assertEquals(AcceptBackoff.INITIAL_DELAY_US, backoff.failed());
    }
}
