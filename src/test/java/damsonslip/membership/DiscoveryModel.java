package damsonslip.membership;

import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A simulation of a fleet of schedulers, each with a real {@link DiscoveryWatch}, and of one
 * discovery service that serves polls one after another, may be down for a while and pushes list
 * changes. It records each use of a list after the drain grace of a change that the list lacks.
 *
 * <p>A poll that would wait too long costs discovery as much as one that is served. After the poll
 * timeout it fails in the same way as one that is sent during an outage. All times are microseconds
 * from the start of the simulation.
 */
final class DiscoveryModel {
    static final long SECOND = 1_000_000;
    private static final long POLL_INTERVAL = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /**
     * A change counts as known this long after discovery had it and could be reached (STANDING).
     */
    private static final long PROPAGATION = 6 * SECOND;

    /** A watch that has received no data for this long is closed. */
    private static final long SILENCE_TIMEOUT = 3_500_000;

    private static final long CHECK_INTERVAL = SECOND / 20;

    /** The platform relaunches a process within this time after its end. */
    private static final long LATEST_LAUNCH = 3 * SECOND / 2;

    /**
     * Shortest time from the launch until the watch starts; it takes longer on a machine that is
     * short of CPU or sockets.
     */
    private static final long SHORTEST_START = SECOND / 5;

    private static final long LONGEST_START = 4 * SECOND;

    private enum Phase {
        KILLED,
        WAITING,
        POLLING,
        OPEN,
        SILENT
    }

    /**
     * An action to run at a given time; actions of the same time run in the order of scheduling.
     */
    private record ScheduledAction(long at, long order, Runnable action) {}

    /** One scheduler and the state of its list. */
    private final class Scheduler {
        final int index;
        DiscoveryWatch watch;
        Phase phase = Phase.KILLED;

        /** The list contains all changes that discovery could push up to this time. */
        long knownUntil;

        /**
         * When the watch became silent; the propagation time of changes missed meanwhile starts
         * then.
         */
        long silentSince = Long.MAX_VALUE;

        /** When the previous process ended; the cached list dates from that moment. */
        long killedAt;

        /** Number of phases so far, to drop actions that were scheduled in an earlier phase. */
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

        /** Runs the action at the given time if the phase is still the same. */
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

        /** Closes the connection because discovery goes down. */
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
                                    + " uses its list at "
                                    + now
                                    + " without the change of "
                                    + change
                                    + ", known at "
                                    + knownAt);
                    return;
                }
            }
        }

        /**
         * Returns when a change counts as known: 6 s after the watch became silent if the silent
         * watch missed it, otherwise 6 s after discovery could push it.
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
     * Creates a fleet whose schedulers all start at time 0.
     *
     * @param pollCost time that discovery needs for one poll
     * @param pollTimeout time after which a waiting poll fails
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

    /** Takes discovery down from the first to the second time; may be called only once. */
    void addOutage(long from, long until) {
        downFrom = from;
        downUntil = until;
        schedule(from, () -> schedulers.forEach(Scheduler::disconnect));
        schedule(until, () -> busyUntil = now);
    }

    /**
     * Kills this fraction of the fleet at the given time; each process is launched and starts
     * again.
     */
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

    /** Makes this fraction of the open watches silent: they stay open but receive no data. */
    void silenceWatches(long time, double fraction) {
        for (Scheduler scheduler : schedulers) {
            if (random.nextDouble() < fraction) {
                schedule(time, scheduler::fallSilent);
            }
        }
    }

    /** Adds a list change at the given time: a worker starts to drain. */
    void startDrain(long time) {
        changes.add(time);
    }

    /** Runs until the given time; returns a description of each violation. */
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
