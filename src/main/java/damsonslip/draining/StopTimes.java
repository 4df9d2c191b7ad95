package damsonslip.draining;

/**
 * What happens when after a stop is told. The process may be killed once the longest deadline, or 3 s if that is shorter,
 * and 0.7 s have passed: sooner where all deadlines are short, so that all times follow from the settings.
 *
 * @param openUs       for so long clients and their front go on as before; nobody may find the door shut, and kept
 *                     connections serve one last query each, since another scheduler may just be starting
 * @param lastAnswerUs whatever is open is answered within this time
 */
public record StopTimes(long openUs, long lastAnswerUs) {
    private static final long LONGEST_COUNTED_US = 3_000_000;
    private static final long BEYOND_US = 700_000;
    /** An answer needs time to leave, and the machine may be busy. */
    private static final long MARGIN_US = 250_000;
    /** A query that is taken at the last moment has this long until it is answered. */
    private static final long SERVED_US = 1_050_000;
    /** New connections come for 0.4 s at the most. */
    private static final long COMING_US = 500_000;

    /** For a deployment whose clients wait for so long at the most. */
    public static StopTimes of(long longestDeadlineUs) {
        long lastAnswer = Math.min(longestDeadlineUs, LONGEST_COUNTED_US) + BEYOND_US - MARGIN_US;
        return new StopTimes(Math.max(COMING_US, lastAnswer - SERVED_US), lastAnswer);
    }
}
