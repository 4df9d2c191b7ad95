package damsonslip.draining;

/**
 * Sending clients away without turning a query back unheard. An answer that says {@code Connection: close} does so
 * surely, so a connection in use is left to that; one that stays idle has to be closed, which may cross a query, so the
 * longest idle go first and only once no new ones come; and at a last moment every one between queries goes.
 *
 * @param sinceUs  when it began
 * @param settleUs for so long idle connections stay
 * @param quietUs  from then on they go when idle for so long
 * @param lastUs   so long after the beginning all go that owe no answer, and a query that is only half there is refused
 */
public record ConnectionDraining(long sinceUs, long settleUs, long quietUs, long lastUs) {
    /** What becomes of a connection now. */
    public enum Verdict { KEEP, END, REFUSE }

    /**
     * An operator's drain: the front asks every 0.1 s and sends new connections for 0.2 s more. A query taken later than
     * 2 s after the call may not be open 4 s after it, so the last moment leaves a margin before that.
     */
    public static ConnectionDraining drained(long nowUs) {
        return new ConnectionDraining(nowUs, 500_000, 300_000, 1_600_000);
    }

    /**
     * For a successor that serves already: whatever is taken must be answered before the process may be killed. Clients
     * that come back find the successor, so a connection may go soon.
     */
    public static ConnectionDraining succeeded(long nowUs, StopTimes times) {
        return new ConnectionDraining(nowUs, 300_000, 700_000, Math.max(400_000, times.openUs() - 600_000));
    }

    /**
     * For a door that was shut long after the program was told to end: all that were kept have been asked to go, and who
     * came at the last moment is about to ask.
     */
    public static ConnectionDraining shut(long nowUs) {
        return new ConnectionDraining(nowUs, 0, 150_000, 300_000);
    }

    /**
     * The verdict on one connection.
     *
     * @param busy        a query on it awaits its answer
     * @param midway      a query has begun to come
     * @param idleSinceUs when it was opened, or its last answer was given
     */
    public Verdict of(long nowUs, boolean busy, boolean midway, long idleSinceUs) {
        boolean last = nowUs >= sinceUs + lastUs;
        if (busy || nowUs < sinceUs + settleUs) {
            return Verdict.KEEP;
        }
        if (midway) {
            return last ? Verdict.REFUSE : Verdict.KEEP;
        }
        return last || nowUs >= idleSinceUs + quietUs ? Verdict.END : Verdict.KEEP;
    }
}
