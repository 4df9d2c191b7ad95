package damsonslip.membership;

import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongBinaryOperator;

/**
 * A simulated discovery that serves the polls of a fleet one after another. A poll that waited too
 * long costs it as much as one that it serves. Times are microseconds.
 */
final class SerialDiscovery {
    /** Cost of one poll by each of 98 schedulers soon after an outage: 61 ms each. */
    static final long COST_AFTER_OUTAGE = 6_000_000;

    /**
     * The same during a release, when 54 workers had changed: 71 ms each, plus a margin of a tenth.
     */
    static final long COST_DURING_RELEASE = 7_600_000;

    private static final long SECOND = 1_000_000;
    private static final long POLL_TIMEOUT = 2 * SECOND;

    /** Interval between list changes, each of which is pushed to all open watches. */
    private static final long CHANGE_INTERVAL = 1_100_000;

    /** Number of pushes that cost as much as one poll. */
    private static final int PUSHES_PER_POLL = 60;

    /** A poll to be sent at a given time, or the failure of one. */
    private record ScheduledPoll(long at, int scheduler, Failure failure) {}

    private final DiscoveryWatch[] watches;
    private final long[] connectedAt;
    private final PriorityQueue<ScheduledPoll> scheduledPolls =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledPoll::at));
    private final List<Long> pollTimes = new ArrayList<>();
    private final long pollCost;
    private final long downUntil;
    private int maxPollsPerSecond;
    private long busyUntil;
    private long nextChange;

    /**
     * Creates a discovery for these watches, which are notified of each poll.
     *
     * @param fleetCost total cost of one poll by each scheduler
     * @param downUntil time before which every poll fails
     */
    SerialDiscovery(DiscoveryWatch[] watches, long fleetCost, long downUntil) {
        this.watches = watches;
        this.connectedAt = new long[watches.length];
        this.pollCost = fleetCost / watches.length;
        this.downUntil = downUntil;
    }

    /** Marks the schedulers from this index on as connected from the start. */
    void connectFrom(int first) {
        Arrays.fill(connectedAt, first, connectedAt.length, 1);
    }

    /** Schedules a poll. */
    void pollAt(int scheduler, long at) {
        scheduledPolls.add(new ScheduledPoll(at, scheduler, null));
    }

    /**
     * Runs until no poll is scheduled before the end.
     *
     * @param retry returns when a scheduler polls again, given its index and the time of the
     *     failure
     */
    void run(long end, LongBinaryOperator retry) {
        while (!scheduledPolls.isEmpty() && scheduledPolls.peek().at() < end) {
            ScheduledPoll next = scheduledPolls.poll();
            if (next.failure() != null) {
                pollAt(next.scheduler(), retry.applyAsLong(next.scheduler(), next.at()));
            } else {
                poll(next.scheduler(), next.at());
            }
        }
    }

    private void poll(int scheduler, long at) {
        watches[scheduler].pollSent(at);
        countPoll(at);
        pushChanges(at);
        boolean down = at < downUntil;
        long wait = Math.max(0, busyUntil - at);
        if (!down) {
            busyUntil = Math.max(busyUntil, at) + pollCost;
        }
        if (down || wait > POLL_TIMEOUT) {
            scheduledPolls.add(new ScheduledPoll(at + POLL_TIMEOUT, scheduler, Failure.FAILED));
        } else {
            connectedAt[scheduler] = at + wait + pollCost;
        }
    }

    private void countPoll(long at) {
        pollTimes.add(at);
        int lastSecond = (int) pollTimes.stream().filter(other -> other > at - SECOND).count();
        maxPollsPerSecond = Math.max(maxPollsPerSecond, lastSecond);
    }

    private void pushChanges(long until) {
        nextChange = Math.max(nextChange, downUntil);
        while (nextChange < until) {
            long open = Arrays.stream(connectedAt).filter(at -> at > 0).count();
            busyUntil = Math.max(busyUntil, nextChange) + open * pollCost / PUSHES_PER_POLL;
            nextChange += CHANGE_INTERVAL;
        }
    }

    /** Returns how many schedulers were not connected by the given time. */
    int countNotConnectedBy(long time) {
        return (int) Arrays.stream(connectedAt).filter(at -> at == 0 || at > time).count();
    }

    /** Returns the largest number of polls within a second. */
    int maxPollsPerSecond() {
        return maxPollsPerSecond;
    }
}
