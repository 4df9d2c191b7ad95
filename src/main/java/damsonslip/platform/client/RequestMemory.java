package damsonslip.platform.client;

import damsonslip.engine.EventLoop;
import damsonslip.transport.datarate.SharedBufferLimit;
import java.nio.ByteBuffer;

/**
 * What one client's connection holds of the memory that all clients' requests share. Used on the
 * event loop only.
 */
final class RequestMemory {
    private final SharedBufferLimit<ClientConnection> limit;
    private final ClientConnection connection;
    private final EventLoop loop;

    /** The memory of the request that is being processed, in bytes. */
    private int acceptedBytes;

    RequestMemory(
            SharedBufferLimit<ClientConnection> limit,
            ClientConnection connection,
            EventLoop loop) {
        this.limit = limit;
        this.connection = connection;
        this.loop = loop;
    }

    /** Records the memory of an incomplete request. */
    void setIncomplete(int bytes) {
        limit.setIncomplete(connection, bytes, loop.nowUs());
    }

    /** Records the bytes after the current request; if there are any, they keep their buffer. */
    void setReadAhead(ByteBuffer bytes) {
        setIncomplete(bytes.hasRemaining() ? bytes.capacity() : 0);
    }

    /** Forgets the incomplete request. */
    void removeIncomplete() {
        limit.removeIncomplete(connection);
    }

    /** Accepts a complete request of this size, unless all requests hold too much memory. */
    boolean tryAccept(int bytes) {
        boolean accepted = limit.tryAccept(bytes);
        acceptedBytes += accepted ? bytes : 0;
        return accepted;
    }

    /** Releases the accepted request, if there is one. */
    void releaseAccepted() {
        limit.release(acceptedBytes);
        acceptedBytes = 0;
    }
}
