package damsonslip.transport.datarate;

/**
 * The parts of the heap that peers may make the program hold, over all connections of a kind. Those
 * of one front take two thirds together; the rest is for the program's own state.
 */
public enum HeapShare {
    /** What the connections themselves take, without the messages that are counted below. */
    CONNECTIONS(6),
    /** The platform's requests that are incomplete or being processed. */
    CLIENT_REQUESTS(4),
    /** The platform's responses that their clients have not read. */
    CLIENT_RESPONSES(8),
    /** The incomplete responses of the platform's workers. */
    WORKER_RESPONSES(8),
    /** Faktory's commands that are incomplete or being handled. */
    COMMANDS(8),
    /** Faktory's replies that their peers have not read. */
    REPLIES(8);

    private final int divisor;

    /**
     * @param divisor one part in this many is for this kind
     */
    HeapShare(int divisor) {
        this.divisor = divisor;
    }

    /** The size of this part of the process's heap. */
    public long bytes() {
        return bytesOf(Runtime.getRuntime().maxMemory());
    }

    /** The size of this part of a heap. */
    long bytesOf(long heapBytes) {
        return heapBytes / divisor;
    }
}
