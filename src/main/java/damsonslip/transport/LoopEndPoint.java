package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point whose selector only reports readiness; reads and writes are done on the event loop.
 * If a write completed on the selector's thread and were reported to the loop later, a connection
 * reset read in between would be handled as if the last byte had not been written, and a request
 * that must not be repeated would be sent to another worker as well.
 */
final class LoopEndPoint extends SocketChannelEndPoint {
    /** Result of {@link #fill} after a failure that may be transient. */
    static final int TRANSIENT_FAILURE = -2;

    /**
     * A connection counts as broken once its transfers have failed in a row for this long and at
     * least {@link #MIN_FAILURES} times. A lack of memory is transient; any other failure occurs
     * again at once, or is followed by the end of the stream. The time alone is not sufficient: if
     * the process is suspended, it may have passed before the second attempt.
     */
    private static final long MIN_FAILING_US = 50_000;

    private static final int MIN_FAILURES = 16;
    private static final long NEVER = Long.MIN_VALUE;
    private static final int END_OF_STREAM = -1;

    private final EventLoop loop;
    private final ManagedSelector selector;
    private final RearmableKey key;
    private final ArrivalBound arrival;
    private final ReadBufferPool readBuffers;
    private long failingSinceUs = NEVER;
    private int failures;

    LoopEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            RearmableKey key,
            Scheduler scheduler,
            EventLoop loop,
            ArrivalBound arrival,
            ReadBufferPool readBuffers) {
        super(channel, selector, key, scheduler);
        this.loop = loop;
        this.selector = selector;
        this.key = key;
        this.arrival = arrival;
        this.readBuffers = readBuffers;
    }

    /** Returns the buffers that the connections of this loop share. */
    ReadBufferPool readBuffers() {
        return readBuffers;
    }

    /** Returns the earliest possible arrival of the bytes that can be read now. */
    ArrivalBound arrival() {
        return arrival;
    }

    /**
     * Reads once. If the read fails for lack of memory (recv(2)) or is interrupted by a signal, the
     * connection stays open and this returns {@link #TRANSIENT_FAILURE}; Jetty would treat either
     * as the end of the stream.
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return END_OF_STREAM;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int bytes = getChannel().read(buffer);
            transferred();
            if (bytes == END_OF_STREAM) {
                shutdownInput();
            }
            return bytes < END_OF_STREAM ? TRANSIENT_FAILURE : bytes;
        } catch (SocketException e) { // how the JDK reports a reset
            shutdownInput();
            return END_OF_STREAM;
        } catch (IOException e) {
            if (mayRetryAfterFailure()) {
                return TRANSIENT_FAILURE;
            }
            shutdownInput();
            return END_OF_STREAM;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }

    /**
     * Writes as much as possible; a write that fails for lack of memory (send(2)) is retried later.
     */
    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        try {
            boolean all = super.flush(buffers);
            transferred();
            return all;
        } catch (SocketException e) {
            throw e;
        } catch (IOException e) { // or an exception of Jetty's with this as its cause
            if (mayRetryAfterFailure() && isOpen()) {
                return false;
            }
            throw e;
        }
    }

    private void transferred() {
        failingSinceUs = NEVER;
        failures = 0;
    }

    /** Counts a failed transfer; returns whether the next one may succeed. */
    private boolean mayRetryAfterFailure() {
        long now = loop.nowUs();
        if (failingSinceUs == NEVER) {
            failingSinceUs = now;
        }
        failures++;
        return now - failingSinceUs < MIN_FAILING_US || failures < MIN_FAILURES;
    }

    @Override
    public Runnable onSelected() {
        arrival.reported();
        Runnable ready = super.onSelected();
        if (ready != null) {
            loop.execute(
                    () -> {
                        if (getConnection() instanceof EventLoopConnection connection) {
                            connection.readyForIo();
                        }
                        ready.run();
                    });
        }
        return null;
    }

    /**
     * Continues a write that waits for space in the send buffer, without a report of the selector.
     * Called on the loop.
     */
    void resumeWrite() {
        getWriteFlusher().completeWrite();
    }

    /** Renews the socket's registration with the kernel, which seems to be missing; thread-safe. */
    void renewRegistration() {
        selector.submit(
                thisRound -> {
                    if (key.isValid()) {
                        key.disarm();
                        arrival.setWatched(false);
                        selector.submit(nextRound -> rearm());
                    }
                });
    }

    private void rearm() {
        if (key.isValid()) {
            key.rearm();
            arrival.setWatched(watchesReads());
        }
    }

    @Override
    public void updateKey() {
        super.updateKey();
        arrival.setWatched(watchesReads());
    }

    private boolean watchesReads() {
        try {
            return (key.interestOps() & SelectionKey.OP_READ) != 0;
        } catch (CancelledKeyException e) { // the connection is closed
            return false;
        }
    }
}
