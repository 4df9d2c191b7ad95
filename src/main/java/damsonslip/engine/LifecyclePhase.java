package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The phase of the program between its start and its exit. It only moves forward, except that
 * {@link #undrain} reverses {@link #drain}.
 *
 * <p>Thread-safe.
 */
public final class LifecyclePhase {
    /**
     * The phases in their order. Operators see the names in lower case, so they stay as they are.
     */
    public enum State {
        /** Reads the settings; accepts nothing yet. */
        STARTING,
        /** Accepts requests. */
        SERVING,
        /**
         * Accepts requests but sends clients away: not ready, and each response is the last on its
         * connection. May return to {@link #SERVING}.
         */
        DRAINED,
        /** Shutting down: still accepts requests, and each response is the last one as well. */
        LEAVING,
        /** Accepts nothing more; answers the open requests. */
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

    /** Whether this phase, or a later one, is reached. */
    public boolean hasReached(State expected) {
        return state().compareTo(expected) >= 0;
    }

    /** Moves forward to a phase and calls the listeners; does nothing if it is reached already. */
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

    /** Moves from serving to drained; returns whether the phase is drained now. */
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

    /** Adds a listener that {@link #advanceTo} calls on its caller's thread. */
    public synchronized void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Waits until a phase is reached.
     *
     * @return false if the timeout in milliseconds has passed before
     * @throws InterruptedException if the thread is interrupted while it waits
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
