package damsonslip.membership;

/**
 * Decides when a scheduler polls discovery: exponential backoff with jitter after a failure,
 * aligned to a time slot of its own.
 *
 * <p>Discovery serves polls one after another and spends as much on one that waited too long, and
 * is answered with 503, as on one that it serves. Schedulers that fail together and retry together
 * would therefore fail forever. So a cycle of fixed length is divided into one slot for each
 * scheduler, all measure it on the clock that they have in common, and a scheduler polls in its own
 * slot after a failed poll or the reset of a watch. The first poll of a process and the one after a
 * silent watch use no slot: there the answer would come too late.
 *
 * <p>All times are microseconds of the clock that the caller passes in; {@code random} is uniform
 * in [0, 1). Not thread-safe.
 */
final class PollSchedule {
    /** The part of the propagation time that a cycle takes; the rest is for queueing. */
    private static final double CYCLE_FRACTION = 0.75;

    /** Upper bound of a cycle for each scheduler, which shortens the cycle of a small fleet. */
    private static final long CYCLE_PER_SCHEDULER_US = 250_000;

    /** Backoff after the first failed poll; doubled with each further one in a row. */
    private static final long INITIAL_BACKOFF_US = 400_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 2;

    /** Within this time a poll follows that waits for no slot. */
    private static final long PROMPT_POLL_US = 200_000;

    private static final long FIRST_POLL_SPREAD_US = 400_000;

    /** Upper bound of the first polls' spread for each scheduler. */
    private static final long FIRST_POLL_SPREAD_PER_SCHEDULER_US = 25_000;

    /** Multiples of this, modulo 1, are spread evenly for any range of indexes. */
    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    private final long propagationUs;
    private final long maxPollIntervalUs;
    private int schedulers;
    private int index;

    /** Polls that have failed in a row. */
    private int failures;

    /**
     * Creates the schedule of one scheduler.
     *
     * @param propagationUs within this time every scheduler is assumed to know a change
     * @param maxPollIntervalUs the longest interval between polls of a list without a watch
     */
    PollSchedule(long propagationUs, long maxPollIntervalUs) {
        this.propagationUs = propagationUs;
        this.maxPollIntervalUs = maxPollIntervalUs;
    }

    /** Sets how many schedulers share discovery and this one's index among them, from 0. */
    void setFleet(int schedulerCount, int schedulerIndex) {
        schedulers = schedulerCount;
        index = schedulerIndex;
    }

    /** Resets the backoff after an answer from discovery. */
    void reset() {
        failures = 0;
    }

    /** Returns when a process that starts polls first. */
    long firstPollUs(long nowUs, double random) {
        long spreadUs =
                Math.min(FIRST_POLL_SPREAD_US, FIRST_POLL_SPREAD_PER_SCHEDULER_US * schedulers);
        return nowUs + (long) (spreadUs * random);
    }

    /** Returns when to poll after a poll that was not sent, which costs discovery nothing. */
    long afterUnsentPollUs(long nowUs, double random) {
        return nowUs + PROMPT_POLL_US / 2 + (long) (PROMPT_POLL_US * random);
    }

    /** Returns when to poll after an open watch fell silent, half of whose time has passed. */
    long afterSilenceUs(long nowUs, double random) {
        return nowUs + (long) (PROMPT_POLL_US * random);
    }

    /** Returns when to poll after an open watch was reset. */
    long afterResetUs(long nowUs, double random) {
        return nextSlotUs(nowUs + backoffUs(random));
    }

    /** Returns when to poll after the poll sent at that time failed; lengthens the backoff. */
    long afterFailedPollUs(long sentUs, long nowUs, double random) {
        long earliestUs = nowUs + backoffUs(random);
        failures++;
        long nextCycleUs = sentUs + cycleUs();
        boolean nextSlotReachable = nextCycleUs > nowUs + PROMPT_POLL_US / 2;
        // the backoff never skips the next slot, which would cost a whole cycle
        return nextSlotUs(nextSlotReachable ? Math.min(earliestUs, nextCycleUs) : earliestUs);
    }

    private long backoffUs(double random) {
        long delayUs = INITIAL_BACKOFF_US << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
        delayUs = Math.min(delayUs, Math.max(INITIAL_BACKOFF_US, maxPollIntervalUs / 2));
        return delayUs / 2 + (long) (delayUs * random);
    }

    private long cycleUs() {
        long fractionUs = (long) (CYCLE_FRACTION * propagationUs);
        return Math.max(1, Math.min(fractionUs, CYCLE_PER_SCHEDULER_US * schedulers));
    }

    /** Returns the beginning of the first own slot that is not before this time. */
    private long nextSlotUs(long fromUs) {
        long cycleUs = cycleUs();
        long offsetUs = (long) (cycleUs * (index * GOLDEN_RATIO % 1));
        return fromUs + Math.floorMod(offsetUs - fromUs, cycleUs);
    }
}
