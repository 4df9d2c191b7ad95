package damsonslip.membership;

/**
 * The state of one scheduler's watch on discovery: when the next call is due, and until when the
 * last list may be used.
 *
 * <p>Discovery serves the calls of all schedulers one after another and spends as much on a call
 * that waited too long, and is answered with 503, as on one that it serves. Callers that fail
 * together and call again together therefore fail for ever. So the schedulers share out the time: a
 * cycle of fixed length is divided into one slot for each of them, all measure it on the clock that
 * they have in common, and whoever failed or lost its watch by a reset calls in its own slot. First
 * calls and those behind a silence have no slot: there the news would come too late.
 *
 * <p>A list that discovery no longer vouches for may name workers that drain. It is used for as
 * long as a change that it lacks cannot count as told yet, and no longer; see the operators' page
 * on drains (STANDING, "one clock for silence").
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not safe for use by several
 * threads.
 */
public final class DiscoveryWatch {
    /** How a call or an open watch ended. */
    public enum Loss {
        /**
         * The call was refused or given up, or the open watch was reset: discovery was down, or had
         * too much to do.
         */
        FAILED,
        /** No connection to discovery came up: it cannot have told anything meanwhile. */
        UNREACHABLE,
        /** The open watch said nothing any more, though discovery may be well. */
        SILENT,
        /**
         * The call never left this machine, which had no socket for it: nothing is known of
         * discovery.
         */
        NOT_CALLED
    }

    private enum State {
        WAITING,
        CALLING,
        OPEN
    }

    /**
     * A change counts as told this long after discovery had it and could be reached (STANDING,
     * FLEET).
     */
    private static final long TOLD_US = 6_000_000;

    /**
     * What a discovery that has moved has to tell counts as told this long after SIGHUP (LATER,
     * STANDING).
     */
    private static final long MOVED_TOLD_US = 4_000_000;

    /** Sends end this much before the drain grace does, since bytes need time to leave. */
    private static final long MARGIN_US = 150_000;

    /**
     * The list that a process starts with is as old as the end of the process before it: the
     * platform starts anew within 1.5 s, and the program needs half a second, where nothing more is
     * known of it.
     */
    private static final long RESTART_US = 2_000_000;

    /** The same until the program's own code runs: the JVM needs up to 0.2 s on half a core. */
    private static final long LAUNCH_US = 1_700_000;

    /**
     * A cycle takes this part of the time in which a change counts as told: the last in it has the
     * rest to wait for its turn at discovery.
     */
    private static final double CYCLE_PART = 0.75;

    /**
     * A small fleet's cycle takes no more than this for each scheduler: six of them were served in
     * some 0.3 s each.
     */
    private static final long SMALL_FLEET_CALL_US = 250_000;

    /**
     * First back-off after a call that failed, doubled with each in a row up to {@link
     * #MOST_DOUBLINGS} times.
     */
    private static final long BACK_OFF_US = 400_000;

    private static final int MOST_DOUBLINGS = 2;

    /**
     * A watch that fell silent has used up half of its time before that was noticed, and the list
     * of a process that starts may be of long ago: these call within these times, and not in a
     * slot.
     */
    private static final long AT_ONCE_US = 200_000;

    private static final long FIRST_CALL_US = 400_000;

    /** A small fleet's first calls need not be spread that far: so much for each scheduler. */
    private static final long SMALL_FLEET_FIRST_CALL_US = 25_000;

    /**
     * So long a process that starts waits for the end of its first call before it sends anything on
     * the list of the one before it. A zone's schedulers that come back together were all told in a
     * little over a second; a job has longer.
     */
    public static final long FIRST_ANSWER_US = 1_500_000;

    /**
     * A call that fails tells nothing by itself: discovery answers alike when it is down and when
     * it has too many calls, such as those of schedulers that start again behind an outage. Only
     * what has failed for longer than both can last tells of an outage that goes on, and the list
     * is used again: 8 s of an outage (FLEET), some 4 s until those who were killed have started
     * again, and the wait of 2 s by which a call fails.
     */
    private static final long SHORT_OUTAGE_US = 14_000_000;

    /**
     * On top, the time in which a fleet that starts again gets through to discovery, for each
     * scheduler. In a model of discovery (DiscoveryWatchTest) the last calls of 20 fail 31 s after
     * the outage began.
     */
    private static final long RESTARTED_FLEET_US = 900_000;

    /**
     * Discovery serves no more schedulers than this within a cycle and the wait by which a call
     * fails: some 0.3 s each in a small fleet, 7 s for all in a large one. Behind an outage of any
     * length calls of larger fleets fail for want of time.
     */
    private static final int MOST_SERVED_IN_TIME = 14;

    /**
     * Slots lie in the order of the multiples of this: those of any run of numbers are spread over
     * the cycle.
     */
    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    /**
     * Workers may be asked themselves for so long after discovery was last heard: an outage of 8 s
     * (FLEET), and the time in which a fleet gets through to it. The longer it lasts, the more is
     * changed that no worker can tell.
     */
    private static final long ASKED_US = 20_000_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final long askEveryUs;
    private final long graceUs;
    private final long toldUs;
    private int schedulers;
    private int number;
    private State state = State.WAITING;
    private int failures;

    /** When the watch was lost or the first call failed, if discovery was not heard since. */
    private long failingSince = Long.MAX_VALUE;

    private long usableFrom = Long.MIN_VALUE;
    private long calledAt;

    /** When discovery was last heard before the open watch was lost. */
    private long heardAt = NEVER;

    private long begunAt = NEVER;

    /** A call found no way to discovery since it was last heard. */
    private boolean cutOff;

    private long validUntil = Long.MAX_VALUE;

    /**
     * Discovery has moved and was not heard at its new address: until then the list of the old one
     * holds at the most.
     */
    private long movedUntil = Long.MAX_VALUE;

    /**
     * The operators have asked for a reload, and the configuration, which may name another address,
     * was not read yet.
     */
    private long unreadUntil = Long.MAX_VALUE;

    /**
     * A watch that has not been begun; until {@link #start} its list may be used without bound.
     *
     * @param schedulers how many share discovery, at least 1
     * @param number this one's number among them, from 0
     * @param askEveryUs how often a list that is not watched has to be asked for at the least
     * @param drainGraceUs how long after the news that a worker drains it may still be sent to
     */
    public DiscoveryWatch(int schedulers, int number, long askEveryUs, long drainGraceUs) {
        this.askEveryUs = askEveryUs;
        this.graceUs = Math.max(0, drainGraceUs - MARGIN_US);
        this.toldUs = Math.min(TOLD_US, askEveryUs);
        divide(schedulers, number);
    }

    /** From now on so many share discovery, and this one has that number among them. */
    public void divide(int schedulers, int number) {
        this.schedulers = schedulers;
        this.number = number;
    }

    /**
     * Begins with the list that the process before this one had; gives when the first call is due.
     *
     * @param random a random number from 0 up to but not including 1
     */
    public long start(long nowUs, double random) {
        validUntil = nowUs + toldUs + graceUs - Math.min(RESTART_US, toldUs / 2);
        usableFrom = nowUs + FIRST_ANSWER_US;
        begunAt = nowUs;
        return nowUs
                + (long) (Math.min(FIRST_CALL_US, SMALL_FLEET_FIRST_CALL_US * schedulers) * random);
    }

    /**
     * The process that began with that list was launched then; a start may take long, and the list
     * grows older. Changes nothing where the watch was not begun.
     */
    public void launched(long launchedUs) {
        if (validUntil < Long.MAX_VALUE) {
            validUntil =
                    Math.min(
                            validUntil,
                            launchedUs + toldUs + graceUs - Math.min(LAUNCH_US, toldUs / 2));
        }
    }

    /**
     * The operators asked then for a reload that moved discovery to another address; of several the
     * earliest counts.
     */
    public void moved(long sinceUs) {
        movedUntil = Math.min(movedUntil, sinceUs + MOVED_TOLD_US + graceUs);
    }

    /** Discovery has told its list at its new address. */
    public void heardWhereItMoved() {
        movedUntil = Long.MAX_VALUE;
    }

    /**
     * The operators asked then for a reload, and the configuration cannot be read: discovery may
     * have moved.
     */
    public void configurationUnread(long sinceUs) {
        unreadUntil = Math.min(unreadUntil, sinceUs + MOVED_TOLD_US + graceUs);
    }

    /** The configuration was read, or refused for what it says: the address is known. */
    public void configurationRead() {
        unreadUntil = Long.MAX_VALUE;
    }

    /** A call has gone out. */
    public void called(long nowUs) {
        if (state != State.OPEN) { // a second timer finds the watch open, and leads to no call
            state = State.CALLING;
            calledAt = nowUs;
        }
    }

    /**
     * Discovery has sent a list or changes: the watch is open, and what it writes counts as told
     * then.
     */
    public void received() {
        state = State.OPEN;
        cutOff = false;
        usableFrom = Long.MIN_VALUE;
        failures = 0;
        failingSince = Long.MAX_VALUE;
        validUntil = Long.MAX_VALUE;
    }

    /**
     * The call or the open watch has ended; gives when to call again.
     *
     * @param heardUs when something was last read from it
     * @param random a random number from 0 up to but not including 1
     */
    public long lost(Loss loss, long heardUs, long nowUs, double random) {
        if (loss == Loss.NOT_CALLED) { // it costs discovery nothing to try again soon, and the list
            // grows older
            state = State.WAITING;
            return nowUs + AT_ONCE_US / 2 + (long) (AT_ONCE_US * random);
        }
        boolean wasOpen = state == State.OPEN;
        state = State.WAITING;
        usableFrom = Long.MIN_VALUE;
        failingSince = Math.min(failingSince, nowUs);
        if (wasOpen) {
            heardAt = heardUs;
            validUntil = heardUs + toldUs + graceUs;
            return loss == Loss.SILENT
                    ? nowUs + (long) (AT_ONCE_US * random)
                    : slot(nowUs + backOff(random));
        }
        cutOff |= loss == Loss.UNREACHABLE;
        long earliest = nowUs + backOff(random);
        failures++;
        if (loss == Loss.UNREACHABLE || isOutage()) { // nothing before the call counts yet
            validUntil = Math.max(validUntil, calledAt + toldUs + graceUs);
            movedUntil = Long.MAX_VALUE;
        }
        long next = calledAt + cycle();
        boolean ahead = next > nowUs + AT_ONCE_US / 2;
        return slot(ahead ? Math.min(earliest, next) : earliest); // a back-off skips no slot
    }

    /**
     * Where lists are pushed, what has come to this machine counts as told whether it was read or
     * not: if it cannot be read, the last list holds for the grace and no longer.
     */
    public void unread(long nowUs) {
        validUntil = Math.min(validUntil, nowUs + graceUs);
    }

    /**
     * Whether the last list holds; where it does not, nothing can be sent until discovery is heard
     * again.
     */
    public boolean isValid(long nowUs) {
        return nowUs < validUntil && nowUs < movedUntil && nowUs < unreadUntil;
    }

    /**
     * Whether a job may wait: the last list holds, or the first call of a process that starts may
     * bring one any moment.
     */
    public boolean mayWait(long nowUs) {
        return isValid(nowUs) || nowUs < usableFrom;
    }

    /**
     * Whether workers may be sent to by the last list now; a process that has just started waits
     * for its first call.
     */
    public boolean isUsable(long nowUs) {
        return nowUs >= usableFrom && isValid(nowUs);
    }

    /**
     * When discovery was last heard before its watch was lost: all that it had until then is on the
     * last list.
     */
    public long heardUs() {
        return heardAt;
    }

    /**
     * Whether workers that are on the last list may be asked themselves whether they drain, as
     * discovery fails its calls. Not where it cannot be reached, or may have moved: workers that it
     * has removed may be well.
     */
    public boolean mayAskWorkers(long nowUs) {
        boolean lost = state != State.OPEN && !cutOff;
        boolean moved = movedUntil != Long.MAX_VALUE || unreadUntil != Long.MAX_VALUE;
        return lost && !moved && nowUs < Math.max(heardAt, begunAt) + ASKED_US;
    }

    /**
     * Whether discovery has been heard at all, so that the last list is not that of the process
     * before.
     */
    public boolean wasHeard() {
        return heardAt != NEVER;
    }

    /**
     * So long after the news of a drain its worker may still be sent to, less what bytes need to
     * leave.
     */
    public long graceUs() {
        return graceUs;
    }

    /**
     * Whether calls have failed for longer than a short outage and all that comes behind it can
     * last.
     */
    private boolean isOutage() {
        long longest = SHORT_OUTAGE_US + RESTARTED_FLEET_US * schedulers;
        return schedulers <= MOST_SERVED_IN_TIME && calledAt - failingSince >= longest;
    }

    private long backOff(double random) {
        long wait = BACK_OFF_US << Math.min(failures, MOST_DOUBLINGS);
        wait = Math.min(wait, Math.max(BACK_OFF_US, askEveryUs / 2));
        return wait / 2 + (long) (wait * random);
    }

    private long cycle() {
        return Math.max(
                1, Math.min((long) (CYCLE_PART * toldUs), SMALL_FLEET_CALL_US * schedulers));
    }

    /** The beginning of the first own slot that is not before this time. */
    private long slot(long fromUs) {
        long cycle = cycle();
        long own = (long) (cycle * (number * GOLDEN_RATIO % 1));
        return fromUs + Math.floorMod(own - fromUs, cycle);
    }
}
