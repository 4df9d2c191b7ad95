package damsonslip.cli;

import java.util.function.LongConsumer;

/**
 * SIGHUP: read the settings again. Guards against the JVM's own way with this signal, which is to
 * exit; it is in place from the first moment to the last, so that one that comes during the start
 * or a stop ends nothing either.
 */
final class HangUp {
    private LongConsumer reload;
    private boolean pending;
    private long pendingNs;

    private HangUp() {}

    /** Catches the signal from now on; what comes before {@link #then} is remembered for it. */
    static HangUp caught() {
        HangUp hangUp = new HangUp();
        SignalThread.handle((signal, receivedNs) -> hangUp.received(receivedNs), "HUP");
        return hangUp;
    }

    private synchronized void received(long signalNs) {
        if (reload != null) {
            reload.accept(signalNs);
        } else if (!pending) {
            pending = true;
            pendingNs = signalNs;
        }
    }

    /**
     * What to do about it, given when the signal came by {@link System#nanoTime}: of several
     * waiting ones the first.
     */
    synchronized void then(LongConsumer action) {
        reload = action;
        if (pending) {
            pending = false;
            action.accept(pendingNs);
        }
    }
}
