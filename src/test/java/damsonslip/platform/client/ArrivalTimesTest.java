package damsonslip.platform.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.platform.codec.ArrivalTime;
import org.junit.jupiter.api.Test;

/** When the bytes of pipelined requests have arrived. */
class ArrivalTimesTest {
    private static final ArrivalTime NOW = at(900_000);

    private final ArrivalTimes times = new ArrivalTimes();

    private static ArrivalTime at(long timeUs) {
        return new ArrivalTime(timeUs, timeUs);
    }

    @Test
    void returnsArrivalOfTheLastByteConsumed() {
        times.buffered(10, at(100_000));
        times.buffered(30, at(200_000));
        assertEquals(at(100_000), times.consumed(10, NOW));
        assertEquals(at(200_000), times.consumed(5, NOW));
        assertEquals(at(200_000), times.consumed(15, NOW));
        assertEquals(NOW, times.consumed(0, NOW));
    }

    @Test
    void recordsBytesThatArriveCloseTogetherAsOneSegment() {
        times.buffered(10, at(100_000));
        times.buffered(20, at(109_999));
        times.buffered(30, at(110_000));
        assertEquals(at(100_000), times.consumed(20, NOW));
        assertEquals(at(110_000), times.consumed(10, NOW));
    }
}
