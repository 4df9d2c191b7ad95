package damsonslip.membership;

import damsonslip.membership.DiscoveryWatch.Loss;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A fleet of schedulers, each with a real {@link DiscoveryWatch}, before one discovery that serves
 * calls one after another, may be down for a while, and tells changes of the list; with a judge of
 * the rule on drains.
 *
 * <p>A call that would wait too long fails after that wait, costs as much as one that is served,
 * and looks like one that is made while discovery is down. All times are microseconds from the
 * beginning.
 */
final class DiscoveryModel {
    static final long SECOND = 1_000_000;
    private static final long ASK_EVERY = 10 * SECOND;
    private static final long GRACE = SECOND / 2;

    /** A change counts as told this long after discovery had it and could be reached (STANDING). */
    private static final long COUNTS_AFTER = 6 * SECOND;

    /** A watch that says nothing for so long is given up. */
    private static final long SILENT_FOR = 3_500_000;

    private static final long LOOK_EVERY = SECOND / 20;

    /** The platform launches a process that has ended again within this time. */
    private static final long LATEST_LAUNCH = 3 * SECOND / 2;

    /**
     * From the launch until the list is begun with; a machine that is busy or short of sockets
     * takes long.
     */
    private static final long LEAST_START = SECOND / 5;

    private static final long LONGEST_START = 4 * SECOND;

    private enum Phase {
        KILLED,
        WAITING,
        CALLING,
        OPEN,
        SILENT
    }

    /** What is due at a time; of equal times the one that was set first comes first. */
    private record Due(long at, long order, Runnable action) {}

    /** One scheduler and what it knows. */
    private final class Scheduler {
        final int number;
        DiscoveryWatch watch;
        Phase phase = Phase.KILLED;

        /** Changes that discovery could tell by then are known. */
        long knownUntil;

        /** When the watch fell silent, by which what it misses counts. */
        long silentSince = Long.MAX_VALUE;

        /**
         * The end of the process before; the list that this one begins with counts as one of that
         * moment.
         */
        long killedAt;

        /** What was set for an earlier phase does not happen any more. */
        int phases;

        Scheduler(int number) {
            this.number = number;
        }

        void enter(Phase next) {
            if (phase == Phase.OPEN) {
                knownUntil = now;
            }
            phase = next;
            phases++;
        }

        /** Does this then, if the phase is still the same. */
        void later(long at, Runnable action) {
            int set = phases;
            at(
                    at,
                    () -> {
                        if (set == phases) {
                            action.run();
                        }
                    });
        }

        void start(long launchedAt) {
            watch = new DiscoveryWatch(schedulers.size(), number, ASK_EVERY, GRACE);
            silentSince = Long.MAX_VALUE;
            enter(Phase.WAITING);
            later(watch.start(now, random.nextDouble()), this::call);
            watch.launched(launchedAt);
        }

        void kill() {
            enter(Phase.KILLED);
            killedAt = now;
        }

        void call() {
            enter(Phase.CALLING);
            watch.called(now);
            long wait = Math.max(0, busyUntil - now);
            if (isDown(now) || wait > mostWait) {
                later(now + mostWait, () -> lose(Loss.FAILED, now));
            } else {
                later(now + wait + callCost, this::open);
            }
            if (!isDown(now)) {
                busyUntil = Math.max(busyUntil, now) + callCost;
            }
        }

        private void open() {
            watch.received();
            silentSince = Long.MAX_VALUE;
            enter(Phase.OPEN);
        }

        void fallSilent() {
            if (phase == Phase.OPEN) {
                enter(Phase.SILENT);
                silentSince = now;
                later(now + SILENT_FOR, () -> lose(Loss.SILENT, silentSince));
            }
        }

        void lose(Loss loss, long heardUs) {
            enter(Phase.WAITING);
            later(watch.lost(loss, heardUs, now, random.nextDouble()), this::call);
        }

        /** Discovery goes down: its connections end. */
        void cutOff() {
            if (phase == Phase.OPEN || phase == Phase.CALLING) {
                lose(Loss.FAILED, now);
            }
        }

        void judge() {
            if (phase == Phase.KILLED || phase == Phase.OPEN || !watch.isUsable(now)) {
                return;
            }
            for (long change : changes) {
                long available = Math.max(killedAt, isDown(change) ? downUntil : change);
                long counts = counts(available);
                if ((isDown(change) ? downUntil : change) > knownUntil && now > counts + GRACE) {
                    broken.add(
                            number
                                    + " at "
                                    + now
                                    + " by a change of "
                                    + change
                                    + " that counts at "
                                    + counts);
                    return;
                }
            }
        }

        /**
         * What a silent watch misses counts 6 s after it fell silent, all else 6 s after discovery
         * could tell it.
         */
        private long counts(long available) {
            boolean missed = available >= silentSince && available < silentSince + COUNTS_AFTER;
            return (missed ? silentSince : available) + COUNTS_AFTER;
        }
    }

    private final List<Scheduler> schedulers = new ArrayList<>();
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() == b.at()
                                    ? Long.compare(a.order(), b.order())
                                    : Long.compare(a.at(), b.at()));
    private final Random random;
    private final long callCost;
    private final long mostWait;
    private final List<Long> changes = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private long now;
    private long order;
    private long busyUntil;
    private long downFrom = Long.MAX_VALUE;
    private long downUntil = Long.MAX_VALUE;

    /**
     * @param callCost what a call costs discovery
     * @param mostWait a call that would wait longer fails after that
     */
    DiscoveryModel(int size, long callCost, long mostWait, Random random) {
        this.callCost = callCost;
        this.mostWait = mostWait;
        this.random = random;
        for (int number = 0; number < size; number++) {
            Scheduler scheduler = new Scheduler(number);
            schedulers.add(scheduler);
            at(0, () -> scheduler.start(0));
        }
    }

    private void at(long time, Runnable action) {
        due.add(new Due(time, order++, action));
    }

    private boolean isDown(long time) {
        return time >= downFrom && time < downUntil;
    }

    /** Discovery is down between these; called once at the most. */
    void outage(long from, long until) {
        downFrom = from;
        downUntil = until;
        at(from, () -> schedulers.forEach(Scheduler::cutOff));
        at(until, () -> busyUntil = now);
    }

    /**
     * This part of the fleet is killed at once; each is launched again soon, and takes a while to
     * start.
     */
    void kill(long time, double part) {
        for (Scheduler scheduler : schedulers) {
            if (random.nextDouble() < part) {
                long launched = time + (long) (LATEST_LAUNCH * random.nextDouble());
                at(time, scheduler::kill);
                long takes =
                        LEAST_START + (long) ((LONGEST_START - LEAST_START) * random.nextDouble());
                at(launched + takes, () -> scheduler.start(launched));
            }
        }
    }

    /** This part of the open watches falls silent. */
    void silence(long time, double part) {
        for (Scheduler scheduler : schedulers) {
            if (random.nextDouble() < part) {
                at(time, scheduler::fallSilent);
            }
        }
    }

    /** A worker begins to drain. */
    void change(long time) {
        changes.add(time);
    }

    /** Plays until then; gives the uses of a list that lacked a change that counted, in words. */
    List<String> play(long end) {
        for (long look = 0; look < end; look += LOOK_EVERY) {
            at(look, () -> schedulers.forEach(Scheduler::judge));
        }
        while (!due.isEmpty() && due.peek().at() <= end) {
            Due next = due.poll();
            now = next.at();
            next.action().run();
        }
        return broken;
    }
}
