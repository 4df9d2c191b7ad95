package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The phase of the process between its start and its exit. It only moves forward, except that
 * {@link #undrain} reverses {@link #drain}.
 *
 * <p>Thread-safe.
 */
public final class LifecyclePhase {
    /**
     * The phases in their order. Operators see the names in lower case, so they must not change.
     */
    public enum State {
        /** The settings are being read; nothing is accepted yet. */
        STARTING,
        /** Requests are accepted. */
        SERVING,
        /**
         * Drained by an operator: requests are still accepted, but readiness checks fail and each
         * response closes its connection. May return to {@link #SERVING}.
         */
        DRAINED,
        /** Shutting down: requests are still accepted, and each response closes its connection. */
        LEAVING,
        /** Nothing more is accepted; the open requests are being answered. */
        FINISHING,
        /** Every request is answered; the process may exit. */
        ENDED
    }

    private final List<Runnable> listeners = new ArrayList<>();
    private State state = State.STARTING;

    /** Returns the current phase. */
    public synchronized State state() {
        return state;
    }

    /** Whether this is the current phase. */
    public boolean is(State expected) {
        return state() == expected;
    }

    /** Whether this phase or a later one has been reached. */
    public boolean hasReached(State expected) {
        return state().compareTo(expected) >= 0;
    }

    /** Advances to a phase and calls the listeners; does nothing if it was reached before. */
    public void advanceTo(State next) {
        List<Runnable> toNotify;
        synchronized (this) {
            if (next.compareTo(state) <= 0) {
                return;
            }
            state = next;
            notifyAll();
            toNotify = List.copyOf(listeners);
        }
        toNotify.forEach(Runnable::run);
    }

    /** Moves from serving to drained; returns whether the process is drained now. */
    public synchronized boolean drain() {
        if (state == State.SERVING) {
            state = State.DRAINED;
        }
        return state == State.DRAINED;
    }

    /** Moves from drained back to serving; does nothing in any other phase. */
    public synchronized void undrain() {
        if (state == State.DRAINED) {
            state = State.SERVING;
        }
    }

    /** Adds a listener, which {@link #advanceTo} calls on the thread of its caller. */
    public synchronized void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Waits until a phase is reached.
     *
     * @return false if the timeout passes first
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public synchronized boolean await(State expected, long timeoutMillis)
            throws InterruptedException {
        long deadlineNanoTime = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (state.compareTo(expected) < 0) {
            long remainingMillis =
                    TimeUnit.NANOSECONDS.toMillis(deadlineNanoTime - System.nanoTime());
            if (remainingMillis <= 0) {
                return false;
            }
            wait(remainingMillis);
        }
        return true;
    }
}
