package damsonslip.transport;

import damsonslip.engine.FatalErrors;
import java.util.function.Consumer;

/**
 * Ends the process if the selector has stopped: Jetty ends its loop after an unexpected error, and
 * the process would neither accept nor read anything any more. Called on the event loop, except for
 * the answers.
 */
final class SelectorMonitor {
    /**
     * After this many checks without an answer the selector has stopped. They are counted, since
     * time also passes while the whole process is suspended; at the usual interval it takes 20 s.
     */
    private static final int MAX_UNANSWERED_CHECKS = 50;

    private volatile boolean answered = true;
    private int unansweredChecks;

    /**
     * Checks whether the selector has answered since the last check, and asks it again if it has.
     *
     * @param selector runs a task in one of the selector's next rounds
     */
    void check(Consumer<Runnable> selector) {
        if (answered) {
            unansweredChecks = 0;
            answered = false;
            selector.accept(() -> answered = true);
        } else if (++unansweredChecks > MAX_UNANSWERED_CHECKS) {
            FatalErrors.endProcess("the selector of the connections has stopped", null);
        }
    }
}
