package damsonslip.platform.worker;

import java.nio.ByteBuffer;

/**
 * The upload of a request that may take longer than the worker's time budget allows for. All bytes
 * but the last one are written first: as long as the last byte is missing, the job provably does
 * not run, and may be sent to another worker if the upload turns out to be slow.
 */
final class LargeUpload {
    /** Smaller requests fit into the operating system's socket buffers, and are written at once. */
    private static final int MIN_BYTES = 8 * 1024;

    /**
     * The worker's time budget counts from the request's last byte, and may exceed the client's by
     * 0.15 s; a third of that is reserved for delays of this process.
     */
    private static final long MAX_DELAY_US = 100_000;

    /** The upload time that is expected of the next attempt, as a multiple of the measured one. */
    private static final double EXPECTATION_FACTOR = 1.25;

    private final long totalBytes;
    private final ByteBuffer lastByte;
    private final long startedUs;
    private long queuedBytes;

    private LargeUpload(long totalBytes, ByteBuffer lastByte, long startedUs) {
        this.totalBytes = totalBytes;
        this.lastByte = lastByte;
        this.startedUs = startedUs;
    }

    static boolean isLarge(long requestBytes) {
        return requestBytes > MIN_BYTES;
    }

    /** Begins an upload; cuts the last byte off the request. */
    static LargeUpload begin(ByteBuffer[] request, long totalBytes, long nowUs) {
        ByteBuffer end = request[request.length - 1];
        ByteBuffer lastByte = end.duplicate().position(end.limit() - 1);
        end.limit(end.limit() - 1);
        return new LargeUpload(totalBytes, lastByte, nowUs);
    }

    /** Records how many bytes the operating system did not accept at once. */
    void queued(long bytes) {
        queuedBytes = bytes;
    }

    ByteBuffer lastByte() {
        return lastByte;
    }

    /**
     * Estimates how long the worker takes to receive the complete request. The bytes that the
     * operating system accepted at once are taken to reach the worker at the rate of the rest.
     *
     * @param nowUs when all bytes but the last one had been accepted
     */
    long estimatedUs(long nowUs) {
        long elapsedUs = nowUs - startedUs;
        return queuedBytes == 0 ? elapsedUs : elapsedUs * totalBytes / queuedBytes;
    }

    /** Whether an upload was so slow that the time budget in its header is wrong. */
    static boolean isTooSlow(long estimatedUs, long expectedUs) {
        return estimatedUs > expectedUs + MAX_DELAY_US;
    }

    /** The upload time to expect of the next attempt. */
    static long expectationAfter(long estimatedUs) {
        return (long) (estimatedUs * EXPECTATION_FACTOR);
    }
}
