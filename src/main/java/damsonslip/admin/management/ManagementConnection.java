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
    /** Bytes of a request: a verb and a worker's id. */
    private static final int LONGEST_LINE = 512;

    /**
     * Time for a complete request, and again for reading the response: twice what a response may
     * take by the page.
     */
    private static final long REQUEST_TIMEOUT_US = 2_000_000;

    /**
     * A request is answered within a second (DAYS), also where the disk takes longer; saying it
     * again is harmless.
     */
    private static final long RESPONSE_TIMEOUT_US = 900_000;

    private final ManagementServer server;
    private final LineDecoder lines = new LineDecoder(LONGEST_LINE);
    private EventLoop.Timer timeout;

    /** The request has come whole, or too late. */
    private boolean taken;

    private boolean responded;
    long openedUs;

    ManagementConnection(EndPoint endPoint, ManagementServer server) {
        super(endPoint, server.loop());
        this.server = server;
    }

    @Override
    protected void opened() {
        openedUs = server.loop().now();
        timeout =
                server.loop()
                        .in(
                                REQUEST_TIMEOUT_US,
                                () -> finish(ManagementResponse.no("no whole call came")));
        server.opened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (taken) {
            return;
        }
        List<String> whole = lines.take(part);
        if (whole == null || whole.stream().anyMatch(line -> line.length() > LONGEST_LINE)) {
            finish(ManagementResponse.no("the line is too long"));
        } else if (!whole.isEmpty()) {
            taken = true;
            timeout.cancel();
            timeout =
                    server.loop()
                            .in(
                                    RESPONSE_TIMEOUT_US,
                                    () ->
                                            respond(
                                                    ManagementResponse.no(
                                                            "not done yet; say it again")));
            server.answer(whole.get(0), this::respond);
        }
    }

    /** Whether its request is being carried out. */
    boolean awaitsResult() {
        return taken && !responded;
    }

    private void finish(ByteBuffer response) {
        if (!taken) {
            taken = true;
            respond(response);
        }
    }

    private void respond(ByteBuffer response) {
        if (!responded && !isClosed()) {
            responded = true;
            write(() -> {}, response);
            endWhenWritten();
            server.loop()
                    .in(REQUEST_TIMEOUT_US, this::end); // the response gets as long as the request
        }
    }

    @Override
    protected void lost() {}

    @Override
    protected void released() {
        if (timeout != null) {
            timeout.cancel();
        }
        server.closed(this);
    }

    /**
     * The order in which connections are closed when there are too many: those being closed anyway,
     * then the oldest.
     */
    static int closingOrder(ManagementConnection one, ManagementConnection other) {
        int leaves = Boolean.compare(other.isLingering(), one.isLingering());
        return leaves != 0 ? leaves : Long.compare(one.openedUs, other.openedUs);
    }
}
