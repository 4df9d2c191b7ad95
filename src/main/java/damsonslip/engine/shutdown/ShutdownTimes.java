package damsonslip.engine.shutdown;

/**
 * The phases of a graceful shutdown, as times after the signal. The process may be killed 0.7 s
 * after the longest request deadline, or 3.7 s after the signal if that is earlier; all times
 * follow from the deadlines in the settings.
 *
 * <p>Immutable.
 *
 * @param acceptUs how long new connections and requests are accepted as before, in microseconds:
 *     clients must not find the port closed, and another scheduler may just be starting
 * @param answerDeadlineUs when every open request has been answered, in microseconds
 */
public record ShutdownTimes(long acceptUs, long answerDeadlineUs) {
    /** Longer deadlines do not delay the kill any further. */
    private static final long MAX_DEADLINE_US = 3_000_000;

    /** From the longest deadline to the kill. */
    private static final long KILL_DELAY_US = 700_000;

    /** Kept free before the kill: a response has to be sent, and the machine may be busy. */
    private static final long MARGIN_US = 250_000;

    /** How long the request that is accepted last has until it is answered. */
    private static final long LAST_REQUEST_TIME_US = 1_050_000;

    /** Front proxies open new connections for up to 0.4 s after the signal. */
    private static final long MIN_ACCEPT_US = 500_000;

    /**
     * Derives the phases from the settings.
     *
     * @param longestDeadlineUs the longest time that a client of this deployment waits, in
     *     microseconds
     */
    public static ShutdownTimes of(long longestDeadlineUs) {
        long answerDeadlineUs =
                Math.min(longestDeadlineUs, MAX_DEADLINE_US) + KILL_DELAY_US - MARGIN_US;
        return new ShutdownTimes(
                Math.max(MIN_ACCEPT_US, answerDeadlineUs - LAST_REQUEST_TIME_US), answerDeadlineUs);
    }
}
