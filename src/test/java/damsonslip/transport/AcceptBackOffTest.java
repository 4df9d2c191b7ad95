package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Delays after failed accepts. */
class AcceptBackOffTest {
    private final AcceptBackOff backOff = new AcceptBackOff();

    @Test
    void doublesUpToBoundAndStartsAnewAfterSuccess() {
        assertEquals(AcceptBackOff.INITIAL_DELAY_US, backOff.failed());
        assertEquals(2 * AcceptBackOff.INITIAL_DELAY_US, backOff.failed());
        for (int i = 0; i < 10; i++) {
            backOff.failed();
        }
        assertEquals(AcceptBackOff.MAX_DELAY_US, backOff.failed());
        backOff.succeeded();
        assertEquals(AcceptBackOff.INITIAL_DELAY_US, backOff.failed());
    }
}
