package damsonslip.transport;

import java.io.IOException;
import java.nio.channels.Selector;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/**
 * A selector whose rounds are of bounded length and recorded by a {@link RoundClock}. So it is
 * known of every watched socket that it was empty two rounds ago at the latest, and only after a
 * suspension of the process a longer wait has to be assumed ({@link
 * EventLoopConnection#TOLERATED_WAIT_US}).
 */
final class TimedSelector extends ManagedSelector {
    private static final long MAX_ROUND_MS = 40;

    /**
     * A round that took longer was delayed: what comes after it would count as old as its start.
     */
    private static final long DELAYED_ROUND_US = 2 * MAX_ROUND_MS * 1_000;

    private final RoundClock rounds;

    TimedSelector(SelectorManager manager, int id, RoundClock rounds) {
        super(manager, id);
        this.rounds = rounds;
    }

    @Override
    protected int nioSelect(Selector selector, boolean now) throws IOException {
        rounds.startRound();
        // after a delayed round, one follows at once that is known to be short
        boolean delayed = rounds.lastRoundUs() > DELAYED_ROUND_US;
        return now || delayed ? selector.selectNow() : selector.select(MAX_ROUND_MS);
    }
}
