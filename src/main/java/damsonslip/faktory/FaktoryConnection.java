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
import damsonslip.transport.datarate.BufferBudget;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection of a producer or worker. Commands are handled one at a time: the next one starts
 * once the reply to the previous one is written. Confined to the event loop.
 */
final class FaktoryConnection extends EventLoopConnection {
    /** The maximum size of a HELLO, which has room for every label that a worker may have. */
    private static final int MAX_HELLO_BYTES = 16 * 1024;

    /**
     * Commands up to this size are accepted even if all commands hold too much memory, so that
     * workers can report on their jobs; their number is bounded by that of the connections.
     */
    private static final int ALWAYS_ACCEPTED_BYTES = 4 * 1024;

    /** How many lines are decoded ahead; the bytes of further ones stay in the read buffer. */
    private static final int MAX_PENDING_LINES = 16;

    /** The maximum length of a worker's id, and of its host and process id together. */
    private static final int MAX_WORKER_NAME_LENGTH = 256;

    private static final CommandError OUT_OF_MEMORY =
            CommandError.error("too much is being sent here at once; come back in a moment");

    private static final long HELLO_TIMEOUT_US = 2_000_000;
    private static final int PROTOCOL_VERSION = 2;

    private final Faktory faktory;
    private final String salt = Password.salt();
    private final LineDecoder decoder;

    /** The number of bytes received of an incomplete command. */
    private int incompleteBytes;

    /** The size of the commands that are complete and not replied to, in bytes. */
    private int acceptedBytes;

    /** The rate at which the peer sends a command. */
    private final MinimumDataRate sendRate;

    /** The rate at which the peer reads a reply. */
    private final MinimumDataRate readRate;

    private final ArrayDeque<String> pendingLines = new ArrayDeque<>();
    private long openedUs;
    private boolean handshakeComplete;

    /** Whether nothing more is decoded, since the connection is being closed. */
    private boolean discarded;

    /** Whether a command is being handled or its reply is being written. */
    private boolean commandInProgress;

    /** The worker that this connection belongs to; null for a producer. */
    private Worker worker;

    FaktoryConnection(EndPoint endPoint, Faktory faktory) {
        super(endPoint, faktory.loop());
        this.faktory = faktory;
        this.decoder = new LineDecoder(faktory.maxLineBytes());
        this.sendRate = new MinimumDataRate(faktory.peerLimits());
        this.readRate = new MinimumDataRate(faktory.peerLimits());
    }

    boolean isHandshakeComplete() {
        return handshakeComplete;
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
        String challenge =
                faktory.password().isRequired()
                        ? ",\"s\":\"" + salt + "\",\"i\":" + Password.ITERATIONS
                        : "";
        write(() -> {}, Reply.simple("HI {\"v\":" + PROTOCOL_VERSION + challenge + "}"));
        faktory.loop().scheduleAfter(HELLO_TIMEOUT_US, this::closeIfHandshakeIncomplete);
    }

    private void closeIfHandshakeIncomplete() {
        if (!handshakeComplete) {
            closeNow();
        }
    }

    @Override
    protected void received(ByteBuffer bytes) {
        while (!commandInProgress && !discarded && !isClosed() && bytes.hasRemaining()) {
            decode(bytes);
        }
        // pipelined bytes stay unread, which bounds the memory for a peer
        recordIncomplete(bytes);
        faktory.enforceCommandMemory();
    }

    /** Records the memory of an incomplete command and of the bytes that are not decoded yet. */
    private void recordIncomplete(ByteBuffer unread) {
        if (!discarded && !isClosed()) {
            int unreadBytes = unread.hasRemaining() ? unread.capacity() : 0;
            faktory.commandMemory()
                    .setIncomplete(
                            this, decoder.memoryBytes() + unreadBytes, faktory.loop().nowUs());
        }
    }

    private void decode(ByteBuffer bytes) {
        int before = bytes.remaining();
        List<String> lines = decoder.decode(bytes, MAX_PENDING_LINES);
        if (lines == null || (!handshakeComplete && decoder.unfinishedBytes() > MAX_HELLO_BYTES)) {
            discarded = true;
            discardReadAhead();
            closeWithError("a line too long");
            return;
        }
        int decodedBytes = before - bytes.remaining();
        int completeBytes = incompleteBytes + decodedBytes - decoder.unfinishedBytes();
        incompleteBytes = decoder.unfinishedBytes();
        measureSending(decodedBytes, !lines.isEmpty());
        if (!lines.isEmpty() && !accept(completeBytes)) {
            closeForMemory();
            return;
        }
        pendingLines.addAll(lines);
        handleNext();
    }

    /** Accepts complete commands of this size, unless all commands hold too much memory. */
    private boolean accept(int bytes) {
        if (bytes <= ALWAYS_ACCEPTED_BYTES) {
            return true;
        }
        boolean accepted = faktory.commandMemory().tryAccept(bytes);
        acceptedBytes += accepted ? bytes : 0;
        return accepted;
    }

    private void releaseAccepted() {
        faktory.commandMemory().release(acceptedBytes);
        acceptedBytes = 0;
    }

    /** Closes the connection since all commands together hold too much memory. */
    void discardIncomplete() {
        if (commandInProgress) { // an error now would pass for its reply
            closeNow();
        } else {
            closeForMemory();
        }
    }

    private void closeForMemory() {
        forgetIncomplete();
        discarded = true;
        discardReadAhead();
        write(() -> {}, Reply.error(OUT_OF_MEMORY));
        closeAfterWrites();
    }

    private void forgetIncomplete() {
        faktory.commandMemory().removeIncomplete(this);
        decoder.takeUnfinished();
        incompleteBytes = 0;
    }

    /**
     * Measures the rate at which an incomplete command arrives; each command is measured
     * separately.
     */
    private void measureSending(int bytes, boolean commandComplete) {
        long now = faktory.loop().nowUs();
        if (commandComplete) {
            sendRate.end();
        }
        if (incompleteBytes > 0) {
            sendRate.begin(now);
            sendRate.transferred(now, Math.min(bytes, incompleteBytes));
        }
    }

    /** Returns the connection's transfers in progress, for the console. */
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
            closeSlowReader("does not read its replies");
        } else if (sendRate.isTooSlow(nowUs) && !commandInProgress) {
            faktory.recordSlowPeer(
                    this,
                    Count.SLOW_SENDERS_LET_GO,
                    "sends a command at " + (long) sendRate.bytesPerSecond(nowUs) + " bytes/s");
            closeWithError("too slow: a command that has begun has to go on");
        }
    }

    /** Closes the connection of a peer that does not read its replies. */
    void closeSlowReader(String behaviour) {
        faktory.recordSlowPeer(this, Count.SLOW_READERS_LET_GO, behaviour);
        closeNow();
    }

    /** Returns the size of the replies that the peer has not read, and how fast it reads. */
    BufferBudget.Usage<FaktoryConnection> replyUsage() {
        long nowUs = faktory.loop().nowUs();
        return new BufferBudget.Usage<>(this, backlogBytes(), readRate.bytesPerSecond(nowUs));
    }

    /**
     * Handles the next command, only one per task of the event loop. Otherwise all commands of a
     * peer that pipelines thousands of them, and whose replies can be written immediately, would be
     * handled before those of any other connection.
     */
    private void handleNext() {
        while (!commandInProgress && !isClosed() && !pendingLines.isEmpty()) {
            String line = pendingLines.poll();
            if (line.isEmpty()) {
                continue;
            }
            commandInProgress = true;
            sendRate.end();
            handle(line);
            return; // the next command follows the reply
        }
    }

    private void handle(String line) {
        try {
            Command command = CommandDecoder.decode(line);
            if (!handshakeComplete) {
                handleHello(command);
            } else if (accept(command.decodedBytes())) {
                faktory.handle(this, command);
            } else {
                reply(Reply.error(OUT_OF_MEMORY));
            }
        } catch (MalformedCommandException e) {
            if (handshakeComplete) {
                reply(Reply.error(CommandError.error(e.getMessage())));
            } else {
                closeWithError(e.getMessage());
            }
        }
    }

    private void replied() {
        commandInProgress = false;
        if (incompleteBytes > 0) { // no bytes are read while a command is handled
            sendRate.begin(faktory.loop().nowUs());
        }
        handleNext();
        if (!commandInProgress && pendingLines.isEmpty()) {
            releaseAccepted();
            resumeReading();
        }
        requestAnswered();
    }

    @Override
    protected boolean hasOpenRequest() {
        return commandInProgress || !pendingLines.isEmpty();
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
            faktory.countWrongPassword();
            throw new MalformedCommandException("invalid password");
        }
        if (hello.wid().length() > MAX_WORKER_NAME_LENGTH
                || hello.process().length() > MAX_WORKER_NAME_LENGTH) {
            throw new MalformedCommandException("wid, hostname or pid is too long");
        }
        handshakeComplete = true;
        worker = hello.wid().isEmpty() ? null : faktory.register(hello, this);
        reply(Reply.ok());
    }

    /** Replies to the current command; the next command is handled once the reply is written. */
    void reply(ByteBuffer reply) {
        readRate.begin(faktory.loop().nowUs(), reply.remaining());
        write(
                () -> {
                    readRate.end();
                    faktory.loop().execute(this::replied);
                },
                reply);
        if (!isClosed() && backlogBytes() > 0) {
            faktory.enforceReplyMemory();
        }
    }

    /** Sends an error, then closes the connection. */
    void closeWithError(String message) {
        write(() -> {}, Reply.error(CommandError.error(message)));
        closeAfterWrites();
    }

    @Override
    protected void connectionLost() {}

    @Override
    protected void connectionClosed() {
        forgetIncomplete();
        releaseAccepted();
        faktory.connectionClosed(this);
    }
}
