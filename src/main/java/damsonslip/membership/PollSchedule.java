package damsonslip.membership;

/**
 * Decides when a scheduler polls discovery: exponential backoff with jitter after a failure,
 * aligned to the scheduler's own time slot.
 *
 * <p>Discovery serves polls one after another, and a poll that waited too long and is answered with
 * 503 costs it as much as one that it serves. Schedulers whose polls fail together and that retry
 * together would therefore fail forever. So a cycle of fixed length, measured on the wall clock
 * that all schedulers share, is divided into one slot for each scheduler, and a scheduler polls in
 * its own slot after a failed poll or the reset of a watch. The first poll of a process and the
 * poll after a silent watch are not aligned to a slot, because the response would come too late.
 *
 * <p>All times are microseconds of the clock that the caller passes in; {@code random} is uniform
 * in [0, 1). Not thread-safe.
 */
final class PollSchedule {
    /** Length of a cycle as a fraction of the propagation time; the rest is left for queueing. */
    private static final double CYCLE_FRACTION = 0.75;

    /** Upper bound of the cycle per scheduler, which shortens the cycle in small fleets. */
    private static final long CYCLE_PER_SCHEDULER_US = 250_000;

    /** Backoff after the first failed poll; doubled with each further consecutive failure. */
    private static final long INITIAL_BACKOFF_US = 400_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 2;

    /** Upper bound of the random delay of a poll that is not aligned to a slot. */
    private static final long PROMPT_POLL_US = 200_000;

    private static final long FIRST_POLL_SPREAD_US = 400_000;

    /** Upper bound of the spread of the first polls, per scheduler. */
    private static final long FIRST_POLL_SPREAD_PER_SCHEDULER_US = 25_000;

    /** Multiples of this, modulo 1, are evenly distributed for any range of indexes. */
    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    private final long propagationUs;
    private final long maxPollIntervalUs;
    private int schedulers;
    private int index;

    /** Number of consecutive failed polls. */
    private int failures;

    /**
     * Creates the schedule of one scheduler.
     *
     * @param propagationUs time within which every scheduler is assumed to know a change
     * @param maxPollIntervalUs the longest interval between polls where discovery offers no watch
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

    /** Resets the backoff after a response from discovery. */
    void reset() {
        failures = 0;
    }

    /** Returns when a starting process sends its first poll. */
    long firstPollUs(long nowUs, double random) {
        long spreadUs =
                Math.min(FIRST_POLL_SPREAD_US, FIRST_POLL_SPREAD_PER_SCHEDULER_US * schedulers);
        return nowUs + (long) (spreadUs * random);
    }

    /** Returns when to poll after a poll that could not be sent and so cost discovery nothing. */
    long afterUnsentPollUs(long nowUs, double random) {
        return nowUs + PROMPT_POLL_US / 2 + (long) (PROMPT_POLL_US * random);
    }

    /**
     * Returns when to poll after an open watch became silent; about half of the propagation time
     * has passed by then, so the poll is prompt.
     */
    long afterSilenceUs(long nowUs, double random) {
        return nowUs + (long) (PROMPT_POLL_US * random);
    }

    /** Returns when to poll after an open watch was reset. */
    long afterResetUs(long nowUs, double random) {
        return nextSlotUs(nowUs + backoffUs(random));
    }

    /** Returns when to poll after the poll sent at {@code sentUs} failed; lengthens the backoff. */
    long afterFailedPollUs(long sentUs, long nowUs, double random) {
        long earliestUs = nowUs + backoffUs(random);
        failures++;
        long nextCycleUs = sentUs + cycleUs();
        boolean nextSlotReachable = nextCycleUs > nowUs + PROMPT_POLL_US / 2;
        // the backoff never skips the next own slot, since waiting for the one after it costs a
        // cycle
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

    /** Returns the start of this scheduler's first slot at or after the given time. */
    private long nextSlotUs(long fromUs) {
        long cycleUs = cycleUs();
        long offsetUs = (long) (cycleUs * (index * GOLDEN_RATIO % 1));
        return fromUs + Math.floorMod(offsetUs - fromUs, cycleUs);
    }
}
