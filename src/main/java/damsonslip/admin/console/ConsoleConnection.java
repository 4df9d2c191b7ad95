package damsonslip.admin.console;

import damsonslip.engine.SlowPeer;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LineDecoder;
import damsonslip.transport.OutboundRateMonitor;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;

/**
 * A console connection: receives command lines and writes the lines of each answer, followed by a
 * line with only a full stop. A command is executed once the previous answer has been written, so
 * that a peer that pipelines commands without reading takes up no more memory than one answer and
 * one buffer of lines. Confined to the event loop.
 */
final class ConsoleConnection extends EventLoopConnection {
    static final String END_OF_ANSWER = ".";
    private static final int MAX_LINE_BYTES = 4 * 1024;

    /**
     * The same as for the platform's clients: a grace period of 5 s, a bucket of 10 s, and at least
     * 2 KB/s.
     */
    private static final MinimumDataRate.Limits MIN_READ_RATE =
            new MinimumDataRate.Limits(5_000_000, 10_000_000, 2 * 1024);

    private final ConsoleServer server;
    private final LineDecoder lines = new LineDecoder(MAX_LINE_BYTES);
    private final ArrayDeque<String> commands = new ArrayDeque<>();
    private final OutboundRateMonitor readRate;
    private boolean answering;

    ConsoleConnection(EndPoint endPoint, ConsoleServer server) {
        super(endPoint, server.loop());
        this.server = server;
        this.readRate =
                new OutboundRateMonitor(
                        server.loop(), MIN_READ_RATE, this::backlogBytes, this::closeSlowReader);
    }

    @Override
    protected void opened() {
        server.connectionOpened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (answering) {
            return; // the bytes are offered again once the answer has been written
        }
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        List<String> completeLines = lines.decode(chunk);
        if (completeLines == null) {
            closeNow();
            return;
        }
        commands.addAll(completeLines);
        answerNext();
    }

    private void answerNext() {
        readRate.end();
        String line = commands.poll();
        answering = line != null;
        if (answering) {
            server.execute(line, this::answer);
        } else {
            resumeReading();
            requestAnswered();
        }
    }

    @Override
    protected boolean hasOpenRequest() {
        return answering;
    }

    private void answer(String text) {
        String answer = text.stripTrailing() + "\n" + END_OF_ANSWER + "\n";
        write(
                () -> server.loop().execute(this::answerNext),
                ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8)));
        if (!isClosed()) {
            readRate.begin();
        }
    }

    private void closeSlowReader() {
        server.slowReaderClosed();
        closeNow();
    }

    /** Returns the peer's progress in reading a pending answer; null if none is pending. */
    SlowPeer slowPeer() {
        return readRate.isWatching()
                ? readRate.describe("reads the console", remoteAddress())
                : null;
    }

    @Override
    protected void connectionLost() {}

    @Override
    protected void connectionClosed() {
        readRate.end();
        server.connectionClosed(this);
    }
}
