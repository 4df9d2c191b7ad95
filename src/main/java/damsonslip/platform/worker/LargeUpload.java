package damsonslip.platform.worker;

import java.nio.ByteBuffer;

/**
 * The upload of a request that may take longer than the worker's time budget allows for. All bytes
 * but the last one are written first: as long as the last byte is missing, the job provably does
 * not run, and may be sent elsewhere if the upload turns out to be slow.
 */
final class LargeUpload {
    /** Smaller requests fit into the system's socket buffers, and are written at once. */
    private static final int MIN_BYTES = 8 * 1024;

    /**
     * The time budget counts from the request's last byte, and may exceed the client's by 0.15 s; a
     * third of that is kept for a process that is held up.
     */
    private static final long MAX_DELAY_US = 100_000;

    /** Factor by which a measured upload time is raised when it is expected of the next attempt. */
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

    /** Records how many bytes the system did not take at once. */
    void queued(long bytes) {
        queuedBytes = bytes;
    }

    ByteBuffer lastByte() {
        return lastByte;
    }

    /**
     * Estimates how long the worker takes to receive the whole request. What the system has taken
     * at once reaches the worker at the rate of the rest.
     *
     * @param nowUs when all but the last byte was taken
     */
    long estimatedUs(long nowUs) {
        long elapsedUs = nowUs - startedUs;
        return queuedBytes == 0 ? elapsedUs : elapsedUs * totalBytes / queuedBytes;
    }

    /** Whether an upload was so slow that the time budget in its head is wrong. */
    static boolean isTooSlow(long estimatedUs, long expectedUs) {
        return estimatedUs > expectedUs + MAX_DELAY_US;
    }

    /** The upload time to expect of a further attempt. */
    static long expectationAfter(long estimatedUs) {
        return (long) (estimatedUs * EXPECTATION_FACTOR);
    }
}
