package damsonslip.engine.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ShutdownTimesTest {
    @ParameterizedTest
    @CsvSource({"500, 500, 950", "1500, 900, 1950", "3000, 2400, 3450", "60000, 2400, 3450"})
    void followFromTheLongestDeadline(long deadlineMs, long acceptMs, long answerMs) {
        assertEquals(
                new ShutdownTimes(acceptMs * 1_000, answerMs * 1_000),
                ShutdownTimes.of(deadlineMs * 1_000));
    }
}
