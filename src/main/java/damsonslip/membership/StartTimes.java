package damsonslip.membership;

/**
 * Translates the start times that discovery lists for workers from the wall clock of their machines
 * to the caller's clock. The offset between the two is unknown and may exceed an hour: the caller's
 * clock was set once, at the start of the process.
 *
 * <p>A start that was observed needs no wall clock: it lies between the previous list and the one
 * that contains it. Where the time stamp contradicts that, the worker counts as started now, which
 * is safe: it gets less work. Two such starts in a row that imply the same correction are taken for
 * an error of the caller's clock, and correct the stamps of workers whose start was not observed as
 * well; a single one may be an error of that worker's clock. A stamp in the future counts as now.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
public final class StartTimes {
    /** The stamp of a worker that started long ago. */
    public static final long LONG_AGO = Long.MIN_VALUE;

    /**
     * How much a stamp may differ from an observed start: a change is known within 6 s (STANDING),
     * and a worker is listed once it is ready.
     */
    private static final long TOLERANCE_US = 10_000_000;

    private boolean receivedFromDiscovery;
    private long lastListUs;
    private long correctionUs;

    /** The correction that the last observed start implies. */
    private long impliedCorrectionUs;

    /**
     * Records that a list was received.
     *
     * @param fromDiscovery whether it shows all that discovery knows now, unlike a cached list
     */
    public void listReceived(boolean fromDiscovery, long nowUs) {
        if (fromDiscovery) {
            receivedFromDiscovery = true;
            lastListUs = nowUs;
        }
    }

    /** Whether a start on the next list must have happened since the last one. */
    public boolean observesStarts() {
        return receivedFromDiscovery;
    }

    /**
     * Returns the start of a worker whose stamp was not on the last list; its start must have been
     * observed ({@link #observesStarts}).
     */
    public long observedStartUs(long timestampUs, long nowUs) {
        if (timestampUs == LONG_AGO) {
            return LONG_AGO;
        }
        long startUs = timestampUs + correctionUs;
        boolean plausible = startUs >= lastListUs - TOLERANCE_US && startUs <= nowUs + TOLERANCE_US;
        if (plausible) {
            impliedCorrectionUs = correctionUs;
            return Math.min(nowUs, startUs);
        }
        recordImpliedCorrection(Math.max(0, nowUs - timestampUs));
        return nowUs;
    }

    private void recordImpliedCorrection(long impliedUs) {
        if (Math.abs(impliedUs - impliedCorrectionUs) <= TOLERANCE_US) {
            correctionUs = impliedUs;
        }
        impliedCorrectionUs = impliedUs;
    }

    /** Returns the start of a worker on a list, whether or not it was observed. */
    public long listedStartUs(long timestampUs, long nowUs) {
        return timestampUs == LONG_AGO ? LONG_AGO : Math.min(nowUs, timestampUs + correctionUs);
    }

    /** Returns what is added to stamps, because the caller's clock has proved to be ahead. */
    public long correctionUs() {
        return correctionUs;
    }
}
