package damsonslip.transport;

import java.io.IOException;
import java.nio.channels.Selector;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/**
 * A selector whose rounds are of bounded duration and recorded by a {@link RoundClock}. The bytes
 * found on a watched socket have therefore waited for two rounds at most; only after a suspension
 * of the process does a longer wait have to be assumed ({@link
 * EventLoopConnection#TOLERATED_WAIT_US}).
 */
final class TimedSelector extends ManagedSelector {
    private static final long MAX_ROUND_MS = 40;

    /**
     * A longer round was delayed: bytes reported by the next one would be assumed to have arrived
     * when the delayed round started.
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
        // a delayed round is followed by one that does not block and so is short
        boolean delayed = rounds.lastRoundUs() > DELAYED_ROUND_US;
        return now || delayed ? selector.selectNow() : selector.select(MAX_ROUND_MS);
    }
}
