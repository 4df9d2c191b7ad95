package damsonslip.transport;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SlowPeer;
import damsonslip.transport.datarate.BufferBudget;
import damsonslip.transport.datarate.MinimumDataRate;
import java.util.function.LongSupplier;

/**
 * Monitors the rate at which a peer receives one message, by the bytes that have not been passed to
 * the kernel yet, and reports a peer that is too slow. Most messages are passed to the kernel at
 * once and need no timer. Called on the event loop.
 */
public final class OutboundRateMonitor {
    /** Interval of the checks; short compared with every grace period. */
    private static final long CHECK_INTERVAL_US = 50_000;

    private final EventLoop loop;
    private final MinimumDataRate rate;
    private final LongSupplier backlogBytes;
    private final Runnable tooSlow;
    private EventLoop.Timer nextCheck;
    private long lastBacklogBytes;

    /**
     * Creates an inactive monitor.
     *
     * @param backlogBytes returns the number of bytes that have not been passed to the kernel
     * @param tooSlow runs when the peer is too slow; at most once for each message
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

    /** Starts monitoring a message just written, unless all of it was passed to the kernel. */
    public void begin() {
        lastBacklogBytes = backlogBytes.getAsLong();
        if (lastBacklogBytes > 0) {
            rate.begin(loop.nowUs());
            scheduleCheck();
        }
    }

    /** Whether a message is being monitored. */
    public boolean isWatching() {
        return nextCheck != null;
    }

    /** Returns the connection's buffer use: bytes not passed to the kernel, and the write rate. */
    public <L> BufferBudget.Usage<L> bufferUsage(L connection) {
        return new BufferBudget.Usage<>(
                connection, backlogBytes.getAsLong(), rate.bytesPerSecond(loop.nowUs()));
    }

    /** Returns the state of the transfer, to be shown to operators. */
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

    /** Stops monitoring: the whole message was passed to the kernel, or it is abandoned. */
    public void end() {
        rate.end();
        if (nextCheck != null) {
            nextCheck.cancel();
            nextCheck = null;
        }
    }
}
