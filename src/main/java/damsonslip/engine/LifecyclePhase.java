package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Where the program stands between its start and its exit: one object, whose state only moves
 * forward, but for {@link #drain} and {@link #undrain}.
 */
public final class LifecyclePhase {
    /** The states, in their order. */
    public enum State {
        /** Reads its settings; takes nothing in. */
        STARTING,
        /** Takes queries in. */
        SERVING,
        /**
         * Serves, but sends its clients away: not ready, and every answer is its connection's last.
         * May go back.
         */
        DRAINED,
        /**
         * Told to stop: still takes queries in, and every answer asks the client to go elsewhere.
         */
        LEAVING,
        /** Takes nothing new; answers what it holds. */
        FINISHING,
        /** Everything is answered; the process may end. */
        ENDED
    }

    private final List<Runnable> watchers = new ArrayList<>();
    private State state = State.STARTING;

    public synchronized State state() {
        return state;
    }

    public boolean is(State asked) {
        return state() == asked;
    }

    public boolean atLeast(State asked) {
        return state().compareTo(asked) >= 0;
    }

    /** Moves on to a later state; a state that is already reached stays. */
    public void moveTo(State next) {
        List<Runnable> told;
        synchronized (this) {
            if (next.compareTo(state) <= 0) {
                return;
            }
            state = next;
            notifyAll();
            told = List.copyOf(watchers);
        }
        told.forEach(Runnable::run);
    }

    /** From serving to drained; tells whether it is drained now. */
    public synchronized boolean drain() {
        state = state == State.SERVING ? State.DRAINED : state;
        return state == State.DRAINED;
    }

    /** From drained back to serving; any other state stays. */
    public synchronized void undrain() {
        state = state == State.DRAINED ? State.SERVING : state;
    }

    public synchronized void onChange(Runnable watcher) {
        watchers.add(watcher);
    }

    /** Waits until the state is reached, or gives up. */
    public synchronized boolean await(State asked, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (state.compareTo(asked) < 0) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }
}
