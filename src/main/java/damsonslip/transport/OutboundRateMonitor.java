package damsonslip.transport;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SlowPeer;
import damsonslip.transport.datarate.BufferBudget;
import damsonslip.transport.datarate.MinimumDataRate;
import java.util.function.LongSupplier;

/**
 * Watches one message being written to a peer, by the bytes that the system has not taken yet, and
 * reports a peer that is too slow. Most messages are taken at once and need no timer. Called on the
 * event loop.
 */
public final class OutboundRateMonitor {
    /** Interval of the checks; short beside every grace period. */
    private static final long CHECK_INTERVAL_US = 50_000;

    private final EventLoop loop;
    private final MinimumDataRate rate;
    private final LongSupplier backlogBytes;
    private final Runnable tooSlow;
    private EventLoop.Timer nextCheck;
    private long lastBacklogBytes;

    /**
     * Creates a monitor that watches nothing yet.
     *
     * @param backlogBytes how much the system has not taken
     * @param tooSlow runs when the peer does not keep up; once for each message
     */
    public OutboundRateMonitor(
            EventLoop loop,
            MinimumDataRate.Limits limits,
            LongSupplier backlogBytes,
            Runnable tooSlow) {
        this.loop = loop;
        this.rate = new MinimumDataRate(limits);
        this.backlogBytes = backlogBytes;
        this.tooSlow = tooSlow;
    }

    /** Begins to watch a message that was just written, if the system has not taken all of it. */
    public void begin() {
        lastBacklogBytes = backlogBytes.getAsLong();
        if (lastBacklogBytes > 0) {
            rate.begin(loop.nowUs());
            scheduleCheck();
        }
    }

    /** Whether a message is being watched that the peer has not taken yet. */
    public boolean isWatching() {
        return nextCheck != null;
    }

    /** Returns the connection's use of buffers: bytes not taken, and the rate of those taken. */
    public <L> BufferBudget.Usage<L> bufferUsage(L connection) {
        return new BufferBudget.Usage<>(
                connection, backlogBytes.getAsLong(), rate.bytesPerSecond(loop.nowUs()));
    }

    /** Returns the state of the transfer for operators. */
    public SlowPeer describe(String what, String peer) {
        long nowUs = loop.nowUs();
        return new SlowPeer(
                what,
                peer,
                backlogBytes.getAsLong(),
                rate.bytesPerSecond(nowUs),
                rate.remainingUs(nowUs));
    }

    private void scheduleCheck() {
        nextCheck = loop.scheduleAfter(CHECK_INTERVAL_US, this::check);
    }

    private void check() {
        long backlog = backlogBytes.getAsLong();
        rate.transferred(loop.nowUs(), Math.max(0, lastBacklogBytes - backlog));
        lastBacklogBytes = backlog;
        if (rate.isTooSlow(loop.nowUs())) {
            end();
            tooSlow.run();
        } else {
            scheduleCheck();
        }
    }

    /** Stops watching: all of the message is taken, or it is abandoned. */
    public void end() {
        rate.end();
        if (nextCheck != null) {
            nextCheck.cancel();
            nextCheck = null;
        }
    }
}
