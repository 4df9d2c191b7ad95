package damsonslip.platform.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.platform.worker.ConnectionState.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The states of a connection to a worker. */
class ConnectionStateTest {
    private static ConnectionState after(Event... events) {
        ConnectionState state = ConnectionState.IDLE;
        for (Event event : events) {
            state = state.after(event);
        }
        return state;
    }

    @Test
    void isIdleAgainAfterACompleteResponse() {
        assertEquals(
                ConnectionState.IDLE,
                after(
                        Event.REQUEST_STARTED,
                        Event.REQUEST_WRITTEN,
                        Event.OUTCOME_KNOWN,
                        Event.RESPONSE_COMPLETED));
    }

    @Test
    void awaitsTheLastByteAfterAnEarlyOutcome() {
        ConnectionState early = after(Event.REQUEST_STARTED, Event.OUTCOME_KNOWN);
        assertTrue(early.isSettled());
        assertFalse(early.isRequestWritten());
        assertEquals(ConnectionState.AWAITING_END, early.after(Event.REQUEST_WRITTEN));
    }

    @ParameterizedTest
    @EnumSource(ConnectionState.class)
    void startsRequestsWhenIdleOnly(ConnectionState state) {
        if (state == ConnectionState.IDLE) {
            assertEquals(ConnectionState.SENDING, state.after(Event.REQUEST_STARTED));
        } else {
            assertThrows(IllegalStateException.class, () -> state.after(Event.REQUEST_STARTED));
        }
    }
}
