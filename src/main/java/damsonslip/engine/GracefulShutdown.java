package damsonslip.engine;

import damsonslip.engine.LifecyclePhase.State;
import java.util.function.BooleanSupplier;

/**
 * The way out: for a while everything goes on as before, since clients still come; then the door is
 * shut; and once nothing is under way any more, or nobody can be waiting for it, the program ends.
 */
public final class GracefulShutdown {
    private static final long LOOK_US = 20_000;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final long openUs;
    private final long longestUs;
    private final BooleanSupplier succeeded;
    private final Runnable shut;
    private final BooleanSupplier done;
    private long endUs;

    /**
     * @param openUs how long the door stays open
     * @param longestUs how long after that something may still be under way
     * @param succeeded whether others take what comes, so that the door need not stay open
     * @param shut shuts the door
     * @param done whether nothing is under way
     */
    public GracefulShutdown(
            EventLoop loop,
            LifecyclePhase phase,
            long openUs,
            long longestUs,
            BooleanSupplier succeeded,
            Runnable shut,
            BooleanSupplier done) {
        this.loop = loop;
        this.phase = phase;
        this.openUs = openUs;
        this.longestUs = longestUs;
        this.succeeded = succeeded;
        this.shut = shut;
        this.done = done;
    }

    /** Called on the loop; a second call changes nothing. */
    public void begin() {
        if (!phase.atLeast(State.LEAVING)) {
            phase.moveTo(State.LEAVING);
            endUs = loop.now() + openUs;
            stayOpen();
        }
    }

    private void stayOpen() {
        if (loop.now() < endUs && !succeeded.getAsBoolean()) {
            loop.in(Math.min(LOOK_US, endUs - loop.now()), this::stayOpen);
            return;
        }
        phase.moveTo(State.FINISHING);
        endUs = loop.now() + longestUs;
        shut.run();
        look();
    }

    private void look() {
        if (done.getAsBoolean() || loop.now() >= endUs) {
            phase.moveTo(State.ENDED);
        } else {
            loop.in(LOOK_US, this::look);
        }
    }
}
