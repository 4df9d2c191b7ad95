package damsonslip.platform.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The states of a client's connection. */
class ClientConnectionStateTest {
    @Test
    void carriesAJobFromItsArrivalToItsResponse() {
        ClientConnectionState state =
                ClientConnectionState.RECEIVING
                        .next(ClientConnectionState.RECEIVED)
                        .next(ClientConnectionState.ADMITTING)
                        .next(ClientConnectionState.PROCESSING)
                        .next(ClientConnectionState.RESPONDING)
                        .next(ClientConnectionState.RECEIVING);
        assertEquals(ClientConnectionState.RECEIVING, state);
    }

    @ParameterizedTest
    @EnumSource(ClientConnectionState.class)
    void respondsOnceToARequest(ClientConnectionState state) {
        if (state == ClientConnectionState.RESPONDING) {
            assertThrows(
                    IllegalStateException.class,
                    () -> state.next(ClientConnectionState.RESPONDING));
        } else {
            assertEquals(
                    ClientConnectionState.RESPONDING, state.next(ClientConnectionState.RESPONDING));
        }
    }
}
