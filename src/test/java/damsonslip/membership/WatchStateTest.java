package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The state transitions of a watch. */
class WatchStateTest {
    @ParameterizedTest
    @CsvSource({
        "WAITING,POLL_SENT,POLLING",
        "WAITING,UPDATE_RECEIVED,OPEN",
        "WAITING,ENDED,WAITING",
        "POLLING,POLL_SENT,POLLING",
        "POLLING,UPDATE_RECEIVED,OPEN",
        "POLLING,ENDED,WAITING",
        "OPEN,POLL_SENT,OPEN",
        "OPEN,UPDATE_RECEIVED,OPEN",
        "OPEN,ENDED,WAITING"
    })
    void followsTransitionTable(WatchState state, WatchState.Event event, WatchState next) {
        assertEquals(next, state.after(event));
    }
}
