package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Failed polls that show a lasting outage or may be due to overload. */
class OutageDetectorTest {
    private static final long SECOND = 1_000_000;

    private final OutageDetector detector = new OutageDetector();

    /**
     * The limit is 14 s for a short outage, the restart after it and a poll timeout, plus 0.9 s per
     * scheduler.
     */
    @ParameterizedTest
    @CsvSource({"1,14.8,false", "1,14.9,true", "14,26.5,false", "14,26.6,true", "15,60,false"})
    void detectsOutageThatOutlastsRecoveryOfSmallFleet(
            int schedulers, double failingForS, boolean lasting) {
        detector.failed(SECOND);
        detector.failed(5 * SECOND);
        long pollSentUs = SECOND + (long) (failingForS * SECOND);
        assertEquals(lasting, detector.isLastingOutage(pollSentUs, schedulers));
    }

    @Test
    void startsOverAfterReset() {
        detector.failed(SECOND);
        detector.reset();
        detector.failed(30 * SECOND);
        assertFalse(detector.isLastingOutage(40 * SECOND, 1));
    }
}
