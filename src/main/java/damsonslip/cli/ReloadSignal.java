package damsonslip.cli;

import java.util.function.LongConsumer;

/**
 * Handles SIGHUP, which reloads the configuration. The signal is handled from the start of the
 * process to its end, since it would terminate the JVM otherwise.
 *
 * <p>Thread-safe.
 */
final class ReloadSignal {
    private LongConsumer action;
    private boolean isPending;
    private long pendingReceivedNs;

    private ReloadSignal() {}

    /** Handles the signal from now on; one received before {@link #onReload} is pending. */
    static ReloadSignal handle() {
        ReloadSignal reload = new ReloadSignal();
        SignalThread.handle((signal, receivedNs) -> reload.received(receivedNs), "HUP");
        return reload;
    }

    private synchronized void received(long receivedNs) {
        if (action != null) {
            action.accept(receivedNs);
        } else if (!isPending) {
            isPending = true;
            pendingReceivedNs = receivedNs;
        }
    }

    /**
     * Sets the action to run on each signal, and runs it at once if a signal is pending.
     *
     * @param newAction receives the {@link System#nanoTime} at which the signal was received;
     *     several pending signals run it once, with the time of the first
     */
    synchronized void onReload(LongConsumer newAction) {
        action = newAction;
        if (isPending) {
            isPending = false;
            newAction.accept(pendingReceivedNs);
        }
    }
}
