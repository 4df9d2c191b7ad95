package damsonslip.transport;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SlowPeer;
import damsonslip.transport.datarate.BufferBudget;
import damsonslip.transport.datarate.MinimumDataRate;
import java.util.function.LongSupplier;

/**
 * Watches one message being written to a peer, by what the system has not taken yet, and tells when
 * the peer is too slow. Most messages are taken at once, and nothing is set up for those.
 */
public final class OutboundRateMonitor {
    /** A message under way is looked at this often: short beside every grace. */
    private static final long LOOK_US = 50_000;

    private final EventLoop loop;
    private final MinimumDataRate pace;
    private final LongSupplier backlog;
    private final Runnable tooSlow;
    private EventLoop.Timer next;
    private long seen;

    /**
     * Watches nothing yet.
     *
     * @param backlog how much the system has not taken
     * @param tooSlow what to do when the peer does not keep up; told once for each message
     */
    public OutboundRateMonitor(
            EventLoop loop, MinimumDataRate.Limits limits, LongSupplier backlog, Runnable tooSlow) {
        this.loop = loop;
        this.pace = new MinimumDataRate(limits);
        this.backlog = backlog;
        this.tooSlow = tooSlow;
    }

    /** A message was handed to the system; if that has not taken all of it, the rest is watched. */
    public void begin() {
        seen = backlog.getAsLong();
        if (seen > 0) {
            pace.begin(loop.now());
            next = loop.in(LOOK_US, this::look);
        }
    }

    /** Whether a message stands there that the peer has yet to take. */
    public boolean waits() {
        return next != null;
    }

    /** Bytes of it that the system has not taken, and bytes a second that it took of them. */
    public <L> BufferBudget.Holding<L> holding(L link) {
        return new BufferBudget.Holding<>(link, backlog.getAsLong(), pace.rate(loop.now()));
    }

    /** The same for people to read. */
    public SlowPeer shown(String what, String peer) {
        return new SlowPeer(
                what, peer, backlog.getAsLong(), pace.rate(loop.now()), pace.leftUs(loop.now()));
    }

    private void look() {
        long left = backlog.getAsLong();
        pace.moved(loop.now(), Math.max(0, seen - left));
        seen = left;
        if (pace.isTooSlow(loop.now())) {
            end();
            tooSlow.run();
        } else {
            next = loop.in(LOOK_US, this::look);
        }
    }

    /** All of it is taken, or nobody wants it any more. */
    public void end() {
        pace.end();
        if (next != null) {
            next.cancel();
            next = null;
        }
    }
}
