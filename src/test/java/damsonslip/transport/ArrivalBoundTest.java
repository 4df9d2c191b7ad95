package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The lower bound on the arrival of bytes that are read from a socket. */
class ArrivalBoundTest {
    private long nowUs = 100;
    private final RoundClock rounds = new RoundClock(() -> nowUs);
    private final ArrivalBound bound = new ArrivalBound(rounds, nowUs);

    private void startRoundAt(long timeUs) {
        nowUs = timeUs;
        rounds.startRound();
    }

    @Test
    void advancesToPreviousRoundThatWatchedSocket() {
        bound.setWatched(true);
        startRoundAt(200);
        bound.reported();
        assertEquals(100, bound.arrivedAfterUs(), "the previous round did not watch the socket");
        startRoundAt(300);
        bound.reported();
        assertEquals(200, bound.arrivedAfterUs());
    }

    @Test
    void staysWhileSocketIsNotWatched() {
        bound.setWatched(true);
        startRoundAt(200);
        bound.setWatched(false);
        startRoundAt(300);
        bound.reported();
        assertEquals(100, bound.arrivedAfterUs());
        bound.recordEmpty(250);
        assertEquals(250, bound.arrivedAfterUs());
    }
}
