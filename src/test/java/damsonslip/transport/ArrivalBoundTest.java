package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Since when what is read from a socket may have waited there. */
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
        assertEquals(100, bound.arrivedAfterUs(), "the round before did not watch it");
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
