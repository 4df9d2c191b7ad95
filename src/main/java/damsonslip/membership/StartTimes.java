package damsonslip.membership;

/**
 * Converts the start times that discovery lists for workers from the wall clocks of their machines
 * to the caller's clock. The offset between the two is unknown and may exceed an hour, because the
 * caller's clock was set only once, at the start of the process.
 *
 * <p>A start is observed if a worker is on a list from discovery and was not on the previous one.
 * Such a start lies between the two lists, whatever the clocks show. If the timestamp contradicts
 * that, the worker counts as started now, which is safe, as it gets less work. Two such starts in a
 * row that imply the same correction are attributed to an error of the caller's clock, and the
 * correction is then also applied to workers whose start was not observed; a single one may be an
 * error of that worker's clock. A timestamp in the future counts as now.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
public final class StartTimes {
    /** Timestamp of a worker that started long ago. */
    public static final long LONG_AGO = Long.MIN_VALUE;

    /**
     * How much a timestamp may differ from an observed start: a change is known within 6 s
     * (STANDING), and a worker is listed only once it is ready.
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
     * @param fromDiscovery whether the list is current, unlike a cached one
     */
    public void listReceived(boolean fromDiscovery, long nowUs) {
        if (fromDiscovery) {
            receivedFromDiscovery = true;
            lastListUs = nowUs;
        }
    }

    /** Whether a worker that is new on the next list must have started since the last one. */
    public boolean observesStarts() {
        return receivedFromDiscovery;
    }

    /**
     * Returns the start time of a worker whose timestamp was not on the last list; only where
     * starts are observed ({@link #observesStarts}).
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

    /** Returns the start time of a listed worker, whether or not the start was observed. */
    public long listedStartUs(long timestampUs, long nowUs) {
        return timestampUs == LONG_AGO ? LONG_AGO : Math.min(nowUs, timestampUs + correctionUs);
    }

    /** Returns the correction that is added to timestamps because the caller's clock is ahead. */
    public long correctionUs() {
        return correctionUs;
    }
}
