package damsonslip.platform.worker;

import damsonslip.engine.EventLoop;
import damsonslip.transport.datarate.HeapShare;
import damsonslip.transport.datarate.SharedBufferLimit;

/**
 * Bounds the memory that all workers' incomplete responses hold together. The head and a line of a
 * response are bounded for each connection as well, but workers that begin long ones and stop would
 * otherwise fill the heap over all connections. Used on the event loop only.
 */
final class ResponseMemory {
    private final EventLoop loop;
    private final SharedBufferLimit<WorkerConnection> limit =
            SharedBufferLimit.of(HeapShare.WORKER_RESPONSES);

    ResponseMemory(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Records how much memory the incomplete head and line of a connection's response take; at the
     * limit, fails the responses that have held the most for the longest time.
     */
    void setIncomplete(WorkerConnection connection, int bytes) {
        limit.setIncomplete(connection, bytes, loop.nowUs());
        limit.chooseExcess(loop.nowUs())
                .forEach(
                        excess -> {
                            limit.removeIncomplete(excess);
                            excess.responseMalformed("too much memory is held by responses");
                        });
    }

    /** Forgets the response of a connection. */
    void removeIncomplete(WorkerConnection connection) {
        limit.removeIncomplete(connection);
    }
}
