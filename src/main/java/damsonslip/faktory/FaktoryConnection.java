package damsonslip.faktory;

import damsonslip.engine.Counters.Count;
import damsonslip.engine.SlowPeer;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandDecoder;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.MalformedCommandException;
import damsonslip.faktory.codec.Reply;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LineDecoder;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;

/**
 * A producer's or worker's connection. Commands are handled one at a time: the next one is taken up
 * once the reply to the previous one is written. Confined to the event loop.
 */
final class FaktoryConnection extends EventLoopConnection {
    /** Bytes of a HELLO with every label that a worker may have. */
    private static final int MAX_HELLO_BYTES = 16 * 1024;

    /** An incomplete command up to this length is accepted however much others have buffered. */
    private static final int ALWAYS_ACCEPTED_BYTES = 32 * 1024;

    /** All incomplete commands together may use the heap divided by this. */
    private static final int HEAP_DIVISOR = 16;

    private static final long HELLO_TIMEOUT_US = 2_000_000;
    private static final int PROTOCOL_VERSION = 2;

    private final Faktory faktory;
    private final String salt = Password.salt();
    private final LineDecoder decoder;

    /** Bytes received of an incomplete command. */
    private int incompleteBytes;

    /** The peer's rate at sending a command. */
    private final MinimumDataRate sendRate;

    /** The peer's rate at reading a reply. */
    private final MinimumDataRate readRate;

    private final ArrayDeque<String> pendingLines = new ArrayDeque<>();
    private long openedUs;
    private boolean greeted;

    /** Whether a command is being handled, or its reply being written. */
    private boolean handling;

    /** The worker that this connection belongs to, or null for a producer's. */
    private Worker worker;

    FaktoryConnection(EndPoint endPoint, Faktory faktory) {
        super(endPoint, faktory.loop());
        this.faktory = faktory;
        this.decoder = new LineDecoder(faktory.maxLineBytes());
        this.sendRate = new MinimumDataRate(faktory.peerLimits());
        this.readRate = new MinimumDataRate(faktory.peerLimits());
    }

    boolean isGreeted() {
        return greeted;
    }

    long openedUs() {
        return openedUs;
    }

    Worker worker() {
        return worker;
    }

    @Override
    protected void opened() {
        openedUs = faktory.loop().nowUs();
        faktory.connectionOpened(this);
        String proof =
                faktory.password().isRequired()
                        ? ",\"s\":\"" + salt + "\",\"i\":" + Password.ROUNDS
                        : "";
        write(() -> {}, Reply.simple("HI {\"v\":" + PROTOCOL_VERSION + proof + "}"));
        faktory.loop().scheduleAfter(HELLO_TIMEOUT_US, this::endIfNotGreeted);
    }

    private void endIfNotGreeted() {
        if (!greeted) {
            closeNow();
        }
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (handling) {
            return; // bytes sent ahead stay unread, which bounds a pipelining peer's memory
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        List<String> complete = decoder.decode(part);
        if (complete == null || (!greeted && decoder.unfinishedBytes() > MAX_HELLO_BYTES)) {
            closeWithError("a line too long");
            return;
        }
        faktory.addBuffered(decoder.unfinishedBytes() - incompleteBytes);
        incompleteBytes = decoder.unfinishedBytes();
        measureSending(part.length, !complete.isEmpty());
        if (incompleteBytes > ALWAYS_ACCEPTED_BYTES && faktory.bufferedBytes() > maxBuffered()) {
            closeWithError("too much is being sent here at once; come back in a moment");
            return;
        }
        pendingLines.addAll(complete);
        handleNext();
    }

    private static long maxBuffered() {
        return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    }

    /** Measures the rate of an incomplete command; each command is measured by itself. */
    private void measureSending(int bytes, boolean ended) {
        long now = faktory.loop().nowUs();
        if (ended) {
            sendRate.end();
        }
        if (incompleteBytes > 0) {
            sendRate.begin(now);
            sendRate.transferred(now, Math.min(bytes, incompleteBytes));
        }
    }

    /** The transfers that are under way, for the console. */
    Stream<SlowPeer> slowPeers(long nowUs) {
        SlowPeer reading =
                new SlowPeer(
                        "reads replies",
                        remoteAddress(),
                        backlogBytes(),
                        readRate.bytesPerSecond(nowUs),
                        readRate.remainingUs(nowUs));
        SlowPeer sending =
                new SlowPeer(
                        "sends a command",
                        remoteAddress(),
                        incompleteBytes,
                        sendRate.bytesPerSecond(nowUs),
                        sendRate.remainingUs(nowUs));
        return Stream.of(reading, sending).filter(peer -> peer.remainingUs() < Long.MAX_VALUE);
    }

    /** Closes the connection if its peer is below the minimum data rate. */
    void closeIfTooSlow(long nowUs) {
        if (isClosed() || isLingering()) {
            return;
        }
        if (readRate.isTooSlow(nowUs)) {
            faktory.closing(this, Count.SLOW_READERS_LET_GO, "does not read its replies");
            closeNow();
        } else if (sendRate.isTooSlow(nowUs) && !handling) {
            faktory.closing(
                    this,
                    Count.SLOW_SENDERS_LET_GO,
                    "sends a command at " + (long) sendRate.bytesPerSecond(nowUs) + " bytes/s");
            closeWithError("too slow: a command that has begun has to go on");
        }
    }

    /**
     * Handles the next command, one in each task of the loop. Otherwise a peer that pipelines
     * thousands of commands, whose replies are written at once, would have all of them handled
     * before any other connection.
     */
    private void handleNext() {
        while (!handling && !isClosed() && !pendingLines.isEmpty()) {
            String line = pendingLines.poll();
            if (line.isEmpty()) {
                continue;
            }
            handling = true;
            sendRate.end();
            handle(line);
            return; // the next one follows the reply
        }
    }

    private void handle(String line) {
        try {
            Command command = CommandDecoder.decode(line);
            if (greeted) {
                faktory.handle(this, command);
            } else {
                handleHello(command);
            }
        } catch (MalformedCommandException e) {
            if (greeted) {
                reply(Reply.error(CommandError.error(e.getMessage())));
            } else {
                closeWithError(e.getMessage());
            }
        }
    }

    private void replied() {
        handling = false;
        if (incompleteBytes > 0) { // nothing was read while the last command was handled
            sendRate.begin(faktory.loop().nowUs());
        }
        handleNext();
        if (!handling && pendingLines.isEmpty()) {
            resumeReading();
        }
    }

    private void handleHello(Command command) throws MalformedCommandException {
        if (!(command instanceof Command.Hello hello)) {
            throw new MalformedCommandException("HELLO comes first");
        }
        if (hello.version() > PROTOCOL_VERSION) {
            throw new MalformedCommandException("only version 2 is spoken here");
        }
        if (faktory.password().isRequired()
                && !faktory.password().verify(salt, hello.passwordHash())) {
            faktory.wrongPassword();
            throw new MalformedCommandException("invalid password");
        }
        greeted = true;
        worker = hello.wid().isEmpty() ? null : faktory.register(hello, this);
        reply(Reply.ok());
    }

    /** Replies to the current command; the next one follows once the reply is written. */
    void reply(ByteBuffer reply) {
        readRate.begin(faktory.loop().nowUs(), reply.remaining());
        write(
                () -> {
                    readRate.end();
                    faktory.loop().execute(this::replied);
                },
                reply);
    }

    /** Sends an error and closes the connection. */
    void closeWithError(String message) {
        write(() -> {}, Reply.error(CommandError.error(message)));
        closeAfterWrites();
    }

    @Override
    protected void connectionLost() {}

    @Override
    protected void connectionClosed() {
        faktory.addBuffered(-incompleteBytes);
        incompleteBytes = 0;
        faktory.connectionClosed(this);
    }
}
