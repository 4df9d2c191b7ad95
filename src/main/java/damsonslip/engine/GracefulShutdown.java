package damsonslip.engine;

import damsonslip.engine.LifecyclePhase.State;
import java.util.function.BooleanSupplier;

/**
 * Moves the process through its shutdown. Connections are accepted at first, since clients still
 * open them; then the listeners are closed; and once nothing is open any more, or a time limit has
 * passed, the process ends.
 *
 * <p>Used on the {@link EventLoop} only; times are in microseconds.
 */
public final class GracefulShutdown {
    private static final long POLL_INTERVAL_US = 20_000;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final long acceptUs;
    private final long finishUs;
    private final BooleanSupplier hasSuccessor;
    private final Runnable closeListeners;
    private final BooleanSupplier isFinished;
    private long phaseEndUs;

    /**
     * Creates a shutdown, which begins when {@link #start} is called.
     *
     * @param acceptUs how long connections are still accepted
     * @param finishUs how long requests and connections may stay open after that
     * @param hasSuccessor whether another process accepts connections, so that this one may stop
     *     before {@code acceptUs} has passed
     * @param closeListeners closes the listeners
     * @param isFinished whether no request or connection is open any more
     */
    public GracefulShutdown(
            EventLoop loop,
            LifecyclePhase phase,
            long acceptUs,
            long finishUs,
            BooleanSupplier hasSuccessor,
            Runnable closeListeners,
            BooleanSupplier isFinished) {
        this.loop = loop;
        this.phase = phase;
        this.acceptUs = acceptUs;
        this.finishUs = finishUs;
        this.hasSuccessor = hasSuccessor;
        this.closeListeners = closeListeners;
        this.isFinished = isFinished;
    }

    /** Starts the shutdown; does nothing if it was started before. */
    public void start() {
        if (!phase.hasReached(State.LEAVING)) {
            phase.advanceTo(State.LEAVING);
            phaseEndUs = loop.nowUs() + acceptUs;
            pollWhileAccepting();
        }
    }

    private void pollWhileAccepting() {
        if (loop.nowUs() < phaseEndUs && !hasSuccessor.getAsBoolean()) {
            long remainingUs = phaseEndUs - loop.nowUs();
            loop.scheduleAfter(Math.min(POLL_INTERVAL_US, remainingUs), this::pollWhileAccepting);
            return;
        }
        phase.advanceTo(State.FINISHING);
        phaseEndUs = loop.nowUs() + finishUs;
        closeListeners.run();
        pollUntilFinished();
    }

    private void pollUntilFinished() {
        if (isFinished.getAsBoolean() || loop.nowUs() >= phaseEndUs) {
            phase.advanceTo(State.ENDED);
        } else {
            loop.scheduleAfter(POLL_INTERVAL_US, this::pollUntilFinished);
        }
    }
}
