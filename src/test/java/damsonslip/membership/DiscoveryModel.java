package damsonslip.membership;

import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A simulated fleet of schedulers, each with a real {@link DiscoveryWatch}, before one discovery
 * that serves polls one after another, may be down for a while, and pushes changes of the list. It
 * records violations of the rule on drains.
 *
 * <p>A poll that would wait too long fails after that wait, costs as much as one that is served,
 * and fails in the same way as one that is made while discovery is down. All times are microseconds
 * from the beginning.
 */
final class DiscoveryModel {
    static final long SECOND = 1_000_000;
    private static final long POLL_INTERVAL = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /**
     * A change counts as known this long after discovery had it and could be reached (STANDING).
     */
    private static final long PROPAGATION = 6 * SECOND;

    /** A watch that receives nothing for this long is closed. */
    private static final long SILENCE_TIMEOUT = 3_500_000;

    private static final long CHECK_INTERVAL = SECOND / 20;

    /** The platform launches a process that has ended again within this time. */
    private static final long LATEST_LAUNCH = 3 * SECOND / 2;

    /** From the launch until the watch starts; a machine short of CPU or sockets takes longer. */
    private static final long SHORTEST_START = SECOND / 5;

    private static final long LONGEST_START = 4 * SECOND;

    private enum Phase {
        KILLED,
        WAITING,
        POLLING,
        OPEN,
        SILENT
    }

    /** An action that is due; of equal times the one scheduled first runs first. */
    private record ScheduledAction(long at, long order, Runnable action) {}

    /** One scheduler and how current its list is. */
    private final class Scheduler {
        final int index;
        DiscoveryWatch watch;
        Phase phase = Phase.KILLED;

        /** Changes that discovery could push by then are known. */
        long knownUntil;

        /** When the watch fell silent; changes that it misses count from then. */
        long silentSince = Long.MAX_VALUE;

        /** When the previous process ended; the kept list is of that moment. */
        long killedAt;

        /** Counts the phases, to drop actions that were scheduled in an earlier one. */
        int phaseCount;

        Scheduler(int index) {
            this.index = index;
        }

        void enter(Phase next) {
            if (phase == Phase.OPEN) {
                knownUntil = now;
            }
            phase = next;
            phaseCount++;
        }

        /** Runs this then, if the phase is still the same. */
        void scheduleInPhase(long at, Runnable action) {
            int scheduledIn = phaseCount;
            schedule(
                    at,
                    () -> {
                        if (scheduledIn == phaseCount) {
                            action.run();
                        }
                    });
        }

        void start(long launchedAt) {
            watch = new DiscoveryWatch(schedulers.size(), index, POLL_INTERVAL, GRACE);
            silentSince = Long.MAX_VALUE;
            enter(Phase.WAITING);
            scheduleInPhase(watch.start(now, random.nextDouble()), this::poll);
            watch.processLaunched(launchedAt);
        }

        void kill() {
            enter(Phase.KILLED);
            killedAt = now;
        }

        void poll() {
            enter(Phase.POLLING);
            watch.pollSent(now);
            long wait = Math.max(0, busyUntil - now);
            if (isDown(now) || wait > pollTimeout) {
                scheduleInPhase(now + pollTimeout, () -> watchLost(Failure.FAILED, now));
            } else {
                scheduleInPhase(now + wait + pollCost, this::open);
            }
            if (!isDown(now)) {
                busyUntil = Math.max(busyUntil, now) + pollCost;
            }
        }

        private void open() {
            watch.updateReceived();
            silentSince = Long.MAX_VALUE;
            enter(Phase.OPEN);
        }

        void fallSilent() {
            if (phase == Phase.OPEN) {
                enter(Phase.SILENT);
                silentSince = now;
                scheduleInPhase(
                        now + SILENCE_TIMEOUT, () -> watchLost(Failure.SILENT, silentSince));
            }
        }

        void watchLost(Failure failure, long lastReadUs) {
            enter(Phase.WAITING);
            scheduleInPhase(
                    watch.failed(failure, lastReadUs, now, random.nextDouble()), this::poll);
        }

        /** Ends the connection, as discovery goes down. */
        void disconnect() {
            if (phase == Phase.OPEN || phase == Phase.POLLING) {
                watchLost(Failure.FAILED, now);
            }
        }

        void checkListUse() {
            if (phase == Phase.KILLED || phase == Phase.OPEN || !watch.isUsable(now)) {
                return;
            }
            for (long change : changes) {
                long pushableAt = Math.max(killedAt, isDown(change) ? downUntil : change);
                long knownAt = countsAsKnownAt(pushableAt);
                if ((isDown(change) ? downUntil : change) > knownUntil && now > knownAt + GRACE) {
                    violations.add(
                            index
                                    + " at "
                                    + now
                                    + " by a change of "
                                    + change
                                    + " that counts at "
                                    + knownAt);
                    return;
                }
            }
        }

        /**
         * When a change counts as known: 6 s after the watch fell silent if the silent watch missed
         * it, else 6 s after discovery could push it.
         */
        private long countsAsKnownAt(long pushableAt) {
            boolean missed = pushableAt >= silentSince && pushableAt < silentSince + PROPAGATION;
            return (missed ? silentSince : pushableAt) + PROPAGATION;
        }
    }

    private final List<Scheduler> schedulers = new ArrayList<>();
    private final PriorityQueue<ScheduledAction> scheduledActions =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() == b.at()
                                    ? Long.compare(a.order(), b.order())
                                    : Long.compare(a.at(), b.at()));
    private final Random random;
    private final long pollCost;
    private final long pollTimeout;
    private final List<Long> changes = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long now;
    private long order;
    private long busyUntil;
    private long downFrom = Long.MAX_VALUE;
    private long downUntil = Long.MAX_VALUE;

    /**
     * @param pollCost what a poll costs discovery
     * @param pollTimeout a poll that would wait longer fails after that
     */
    DiscoveryModel(int size, long pollCost, long pollTimeout, Random random) {
        this.pollCost = pollCost;
        this.pollTimeout = pollTimeout;
        this.random = random;
        for (int index = 0; index < size; index++) {
            Scheduler scheduler = new Scheduler(index);
            schedulers.add(scheduler);
            schedule(0, () -> scheduler.start(0));
        }
    }

    private void schedule(long time, Runnable action) {
        scheduledActions.add(new ScheduledAction(time, order++, action));
    }

    private boolean isDown(long time) {
        return time >= downFrom && time < downUntil;
    }

    /** Takes discovery down between these times; called at most once. */
    void addOutage(long from, long until) {
        downFrom = from;
        downUntil = until;
        schedule(from, () -> schedulers.forEach(Scheduler::disconnect));
        schedule(until, () -> busyUntil = now);
    }

    /** Kills this fraction of the fleet at once; each process is launched again and starts. */
    void kill(long time, double fraction) {
        for (Scheduler scheduler : schedulers) {
            if (random.nextDouble() < fraction) {
                long launched = time + (long) (LATEST_LAUNCH * random.nextDouble());
                schedule(time, scheduler::kill);
                long startDuration =
                        SHORTEST_START
                                + (long) ((LONGEST_START - SHORTEST_START) * random.nextDouble());
                schedule(launched + startDuration, () -> scheduler.start(launched));
            }
        }
    }

    /** Silences this fraction of the open watches. */
    void silenceWatches(long time, double fraction) {
        for (Scheduler scheduler : schedulers) {
            if (random.nextDouble() < fraction) {
                schedule(time, scheduler::fallSilent);
            }
        }
    }

    /** Makes a worker begin to drain. */
    void startDrain(long time) {
        changes.add(time);
    }

    /** Runs until then; returns the uses of a list without a change that counted, in words. */
    List<String> run(long end) {
        for (long time = 0; time < end; time += CHECK_INTERVAL) {
            schedule(time, () -> schedulers.forEach(Scheduler::checkListUse));
        }
        while (!scheduledActions.isEmpty() && scheduledActions.peek().at() <= end) {
            ScheduledAction next = scheduledActions.poll();
            now = next.at();
            next.action().run();
        }
        return violations;
    }
}
