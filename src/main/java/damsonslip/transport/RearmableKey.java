package damsonslip.transport;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A selection key whose registration with the system can be made again. Where epoll_ctl(2) fails
 * for lack of memory, the JDK takes the socket for registered all the same, and asks the system
 * again only once the interest has changed.
 *
 * <p>Used on the selector's thread.
 */
final class RearmableKey extends SelectionKey {
    private final SelectionKey key;

    /**
     * What the selector is to report; the key itself has none while it is being registered anew.
     */
    private int wanted;

    private boolean rearming;

    RearmableKey(SelectionKey key) {
        this.key = key;
        this.wanted = key.interestOps();
    }

    /**
     * Takes the registration back; {@link #rearm} makes it again, behind the selector's next round.
     */
    void disarm() {
        rearming = true;
        key.interestOps(0);
    }

    /** Makes the registration again, for what is wanted by now. */
    void rearm() {
        rearming = false;
        key.interestOps(wanted);
    }

    @Override
    public SelectionKey interestOps(int ops) {
        wanted = ops;
        if (!rearming) {
            key.interestOps(ops);
        }
        return this;
    }

    @Override
    public int interestOps() {
        return wanted;
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
