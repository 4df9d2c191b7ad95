package damsonslip.platform.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** How long a worker takes to receive a large request. */
class LargeUploadTest {
    private static final long EXPECTED_US = 1_000;

    @Test
    void keepsTheLastByteBack() {
        ByteBuffer body = ByteBuffer.wrap(new byte[] {1, 2, 3});
        LargeUpload upload =
                LargeUpload.begin(new ByteBuffer[] {ByteBuffer.allocate(0), body}, 3, 0);
        assertEquals(2, body.remaining());
        assertEquals(1, upload.lastByte().remaining());
        assertEquals(3, upload.lastByte().get());
    }

    @Test
    void estimatesTotalTimeFromTheRateOfTheQueuedPart() {
        LargeUpload upload = LargeUpload.begin(new ByteBuffer[] {ByteBuffer.allocate(10)}, 10, 100);
        assertEquals(50, upload.estimatedUs(150));
        upload.queued(5);
        assertEquals(100, upload.estimatedUs(150));
    }

    @Test
    void toleratesADelayBeyondTheExpectedTime() {
        assertFalse(LargeUpload.isTooSlow(EXPECTED_US + 100_000, EXPECTED_US));
        assertTrue(LargeUpload.isTooSlow(EXPECTED_US + 100_001, EXPECTED_US));
        assertEquals(125, LargeUpload.expectationAfter(100));
    }
}
