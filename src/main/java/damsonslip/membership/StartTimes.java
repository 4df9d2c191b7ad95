package damsonslip.membership;

/**
 * Translates the start times that discovery's list gives for workers, which are on the wall clock
 * of the machines, to the caller's clock, whose distance from that may be wrong by an hour and
 * more: it was read once, at the start of the process.
 *
 * <p>A start that was seen to happen needs no wall clock: it lies between the list before and the
 * one that tells of it. Where the stamp contradicts that, the worker counts as started now, which
 * is the safe side: it gets less. Two such starts in a row that ask for the same correction are
 * taken for an error of the own clock, and correct the stamps of workers whose start was not seen
 * as well; a single one may be an error of that worker's clock. A stamp from the future counts as
 * now.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not safe for use by several
 * threads.
 */
public final class StartTimes {
    /** The stamp of a worker that started long ago. */
    public static final long LONG_AGO = Long.MIN_VALUE;

    /**
     * News may come this late: a change counts as told within 6 s (STANDING), and a start is listed
     * once it is ready.
     */
    private static final long LATE_NEWS_US = 10_000_000;

    private boolean heard;
    private long heardUs;
    private long correctionUs;
    private long askedForUs;

    /**
     * A list was taken in; {@code fromDiscovery} tells that discovery has told all that it knows
     * now.
     */
    public void listed(boolean fromDiscovery, long nowUs) {
        if (fromDiscovery) {
            heard = true;
            heardUs = nowUs;
        }
    }

    /** Whether a start that a list tells of must have happened since the last one. */
    public boolean seesStarts() {
        return heard;
    }

    /**
     * Gives the start of a worker whose stamp was not on the last list, where {@link #seesStarts}.
     */
    public long seen(long stampUs, long nowUs) {
        if (stampUs == LONG_AGO) {
            return LONG_AGO;
        }
        long start = stampUs + correctionUs;
        boolean fits = start >= heardUs - LATE_NEWS_US && start <= nowUs + LATE_NEWS_US;
        if (fits) {
            askedForUs = correctionUs;
            return Math.min(nowUs, start);
        }
        askFor(Math.max(0, nowUs - stampUs));
        return nowUs;
    }

    private void askFor(long correction) {
        if (Math.abs(correction - askedForUs) <= LATE_NEWS_US) {
            correctionUs = correction;
        }
        askedForUs = correction;
    }

    /** Gives the start of a worker that a list tells of, whenever that was. */
    public long told(long stampUs, long nowUs) {
        return stampUs == LONG_AGO ? LONG_AGO : Math.min(nowUs, stampUs + correctionUs);
    }

    /** What is added to stamps, because the own clock has shown to be ahead by so much. */
    public long correctionUs() {
        return correctionUs;
    }
}
