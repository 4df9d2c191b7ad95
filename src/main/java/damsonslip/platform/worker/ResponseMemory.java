package damsonslip.platform.worker;

import damsonslip.engine.EventLoop;
import damsonslip.transport.datarate.SharedBufferLimit;

/**
 * Bounds the memory that all workers' incomplete responses hold together. A line of a response is
 * bounded for each connection as well, but workers that begin long lines and stop would otherwise
 * fill the heap over all connections. Used on the event loop only.
 */
final class ResponseMemory {
    /** Incomplete responses may together hold one part in this many of the heap. */
    private static final int HEAP_DIVISOR = 8;

    private final EventLoop loop;
    private final SharedBufferLimit<WorkerConnection> limit =
            SharedBufferLimit.partOfHeap(HEAP_DIVISOR);

    ResponseMemory(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Records how many bytes of an incomplete line a connection holds; at the limit, fails the
     * responses that have held the most for the longest time.
     */
    void incompleteLine(WorkerConnection connection, int bytes) {
        limit.setIncomplete(connection, bytes, loop.nowUs());
        limit.chooseExcess(loop.nowUs())
                .forEach(
                        excess -> {
                            limit.removeIncomplete(excess);
                            excess.responseMalformed("too much memory is held by responses");
                        });
    }

    /** Forgets the incomplete line of a connection. */
    void lineEnded(WorkerConnection connection) {
        limit.removeIncomplete(connection);
    }
}
