package damsonslip.transport;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A selection key whose registration with the kernel can be renewed. If epoll_ctl(2) fails for lack
 * of memory, the JDK considers the socket registered nevertheless, and repeats the call only after
 * a change of the interest set. Therefore {@link #disarm} clears the interest set, and {@link
 * #rearm} restores it after the selector's next round.
 *
 * <p>Used on the selector's thread.
 */
final class RearmableKey extends SelectionKey {
    private final SelectionKey key;

    /** The requested interest set; that of the key itself is empty between disarm and rearm. */
    private int interestOps;

    private boolean disarmed;

    RearmableKey(SelectionKey key) {
        this.key = key;
        this.interestOps = key.interestOps();
    }

    /** Removes the registration with the kernel until {@link #rearm}. */
    void disarm() {
        disarmed = true;
        key.interestOps(0);
    }

    /** Registers with the kernel again, for the current interest set. */
    void rearm() {
        disarmed = false;
        key.interestOps(interestOps);
    }

    @Override
    public SelectionKey interestOps(int ops) {
        interestOps = ops;
        if (!disarmed) {
            key.interestOps(ops);
        }
        return this;
    }

    @Override
    public int interestOps() {
        return interestOps;
    }

    @Override
    public int readyOps() {
        return key.readyOps();
    }

    @Override
    public SelectableChannel channel() {
        return key.channel();
    }

    @Override
    public Selector selector() {
        return key.selector();
    }

    @Override
    public boolean isValid() {
        return key.isValid();
    }

    @Override
    public void cancel() {
        key.cancel();
    }
}
