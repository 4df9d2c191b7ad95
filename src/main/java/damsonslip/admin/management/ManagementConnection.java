package damsonslip.admin.management;

import damsonslip.engine.EventLoop;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LineDecoder;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection to the management port: reads one request, writes one response and closes. Confined
 * to the loop.
 */
final class ManagementConnection extends EventLoopConnection {
    /** Enough for a verb and a worker's id. */
    private static final int MAX_LINE_LENGTH = 512;

    /**
     * How long the peer may take to send a complete request, and again to read the response: twice
     * the second within which the scheduler has to respond.
     */
    private static final long REQUEST_TIMEOUT_US = 2_000_000;

    /**
     * How long a request may take until it is reported as not done yet. Operators' tools expect a
     * response within a second, even if the disk takes longer; repeating the request is harmless.
     */
    private static final long RESPONSE_TIMEOUT_US = 900_000;

    private final ManagementServer server;
    private final LineDecoder lines = new LineDecoder(MAX_LINE_LENGTH);
    private EventLoop.Timer timeout;

    /** Whether a complete request was received, or can no longer be. */
    private boolean requestEnded;

    private boolean responded;
    long openedUs;

    ManagementConnection(EndPoint endPoint, ManagementServer server) {
        super(endPoint, server.loop());
        this.server = server;
    }

    @Override
    protected void opened() {
        openedUs = server.loop().nowUs();
        timeout =
                server.loop()
                        .scheduleAfter(
                                REQUEST_TIMEOUT_US,
                                () -> reject(ManagementResponse.failure("no whole call came")));
        server.connectionOpened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        if (requestEnded) {
            return;
        }
        List<String> completeLines = lines.decode(chunk);
        if (completeLines == null
                || completeLines.stream().anyMatch(line -> line.length() > MAX_LINE_LENGTH)) {
            reject(ManagementResponse.failure("the line is too long"));
        } else if (!completeLines.isEmpty()) {
            requestEnded = true;
            timeout.cancel();
            timeout =
                    server.loop()
                            .scheduleAfter(
                                    RESPONSE_TIMEOUT_US,
                                    () ->
                                            respond(
                                                    ManagementResponse.failure(
                                                            "not done yet; say it again")));
            server.execute(completeLines.get(0), this::respond);
        }
    }

    @Override
    protected boolean hasOpenRequest() {
        return requestEnded && !responded;
    }

    private void reject(ByteBuffer response) {
        if (!requestEnded) {
            requestEnded = true;
            respond(response);
        }
    }

    private void respond(ByteBuffer response) {
        if (!responded && !isClosed()) {
            responded = true;
            write(() -> {}, response);
            closeAfterWrites();
            server.loop()
                    .scheduleAfter(
                            REQUEST_TIMEOUT_US,
                            this::closeNow); // the time limit for reading the response
        }
    }

    @Override
    protected void connectionLost() {}

    @Override
    protected void connectionClosed() {
        if (timeout != null) {
            timeout.cancel();
        }
        server.connectionClosed(this);
    }

    /**
     * Orders connections for eviction at the connection limit: first those that linger after their
     * response, then the oldest.
     */
    static int evictionOrder(ManagementConnection one, ManagementConnection other) {
        int byLingering = Boolean.compare(other.isLingering(), one.isLingering());
        return byLingering != 0 ? byLingering : Long.compare(one.openedUs, other.openedUs);
    }
}
