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
 * A connection whose selector only tells what it is ready for; that is then done on the loop.
 * Guards against a write that is finished on the selector's thread and told of later than it
 * happened: a reset that is read in between would find that the last byte had not left, and what
 * must run once would be sent elsewhere.
 */
final class LoopEndPoint extends SocketChannelEndPoint {
    /**
     * What {@link #fill} gives where the system could not read just now; below the end of the
     * stream.
     */
    static final int NOT_NOW = -2;

    /**
     * For so long, and so many times, a connection's transfers fail in a row until it counts as
     * broken. A failure that tells of its end tells so again at once or by the end of the stream;
     * one for lack of memory passes. The time alone would not do: where the process is held up, it
     * may be over before the second try.
     */
    private static final long FAILING_US = 50_000;

    private static final int MOST_FAILURES = 16;
    private static final long NEVER = Long.MIN_VALUE;
    private static final int END = -1;

    private final EventLoop loop;
    private final ManagedSelector selector;
    private final RearmableKey key;
    private final ArrivalBound arrival;
    private long failingSinceUs = NEVER;
    private int failures;

    LoopEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            RearmableKey key,
            Scheduler scheduler,
            EventLoop loop,
            ArrivalBound arrival) {
        super(channel, selector, key, scheduler);
        this.loop = loop;
        this.selector = selector;
        this.key = key;
        this.arrival = arrival;
    }

    /** When the bytes that can be read now have come at the earliest. */
    ArrivalBound arrival() {
        return arrival;
    }

    /**
     * Reads once. Where the system fails the read for lack of memory (recv(2)) or a signal
     * interrupts it, the connection stands, and this gives {@link #NOT_NOW}; Jetty would take
     * either for the end of the stream.
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return END;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int got = getChannel().read(buffer);
            wentWell();
            if (got == END) {
                shutdownInput();
            }
            return got < END ? NOT_NOW : got;
        } catch (SocketException e) { // the JDK's word for a reset
            shutdownInput();
            return END;
        } catch (IOException e) {
            if (mayPass()) {
                return NOT_NOW;
            }
            shutdownInput();
            return END;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }

    /**
     * Writes what the system takes; what it refuses for lack of memory (send(2)) is offered again.
     */
    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        try {
            boolean all = super.flush(buffers);
            wentWell();
            return all;
        } catch (SocketException e) {
            throw e;
        } catch (IOException e) { // Jetty's own exceptions have this as their cause
            if (mayPass() && isOpen()) {
                return false;
            }
            throw e;
        }
    }

    private void wentWell() {
        failingSinceUs = NEVER;
        failures = 0;
    }

    /** Counts a failed transfer; tells whether the next one may go well. */
    private boolean mayPass() {
        long now = loop.now();
        if (failingSinceUs == NEVER) {
            failingSinceUs = now;
        }
        failures++;
        return now - failingSinceUs < FAILING_US || failures < MOST_FAILURES;
    }

    @Override
    public Runnable onSelected() {
        arrival.reported();
        Runnable ready = super.onSelected();
        if (ready != null) {
            loop.execute(
                    () -> {
                        if (getConnection() instanceof EventLoopConnection link) {
                            link.selected();
                        }
                        ready.run();
                    });
        }
        return null;
    }

    /**
     * Goes on with a write that waits for room, though the selector has not told of any; called on
     * the loop.
     */
    void tryWriting() {
        getWriteFlusher().completeWrite();
    }

    /** Has the system watch the socket anew, as it seems not to; safe for several threads. */
    void watchAnew() {
        selector.submit(
                before -> {
                    if (key.isValid()) {
                        key.disarm();
                        arrival.watched(false);
                        selector.submit(behind -> rearm());
                    }
                });
    }

    private void rearm() {
        if (key.isValid()) {
            key.rearm();
            arrival.watched(watchesReads());
        }
    }

    @Override
    public void updateKey() {
        super.updateKey();
        arrival.watched(watchesReads());
    }

    private boolean watchesReads() {
        try {
            return (key.interestOps() & SelectionKey.OP_READ) != 0;
        } catch (CancelledKeyException e) { // it is closed
            return false;
        }
    }
}
