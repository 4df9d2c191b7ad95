package damsonslip.policy;

import damsonslip.membership.StartTimes;
import damsonslip.membership.WorkerLease;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.LoadReport;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * What one dispatcher knows: plain fields that {@link SchedulingPolicy} alone fills and decides by.
 */
final class FleetState {
    /** The mean of own slots in use goes over about the time by which reports lag behind. */
    private static final double OWN_US = 1e6;

    /**
     * Weight of the newest job in a mean job time, once a hundred are seen; long tails need many.
     */
    private static final double TIME_WEIGHT = 0.003;

    /**
     * Weight of the newest job in a worker's pace, once some are seen: the first counts as much as
     * the guess that it is as usual, since of many workers a dispatcher sees few jobs each. No job
     * counts for more than so many times.
     */
    private static final double PACE_WEIGHT = 0.15;

    private static final double MOST_TIMES = 6;

    /** The same in a worker's mean time of a class, which counts once a few are seen. */
    private static final double WORKER_WEIGHT = 0.1;

    private static final int FEW = 3;

    /**
     * Jobs shorter than this tell nothing of a pace: the network and a machine's own pauses take as
     * long.
     */
    private static final double NOISE_US = 5e3;

    /** A worker's pace is forgotten over about this long. */
    private static final double PACE_US = 8e6;

    private FleetState() {}

    static final class Worker {
        final String id;

        /**
         * Evens out, over workers that started together, whose turn it is at each while they are
         * cold.
         */
        final long salt;

        final List<Attempt> out = new ArrayList<>();
        int zone;
        int cell;
        int kind;
        boolean running;

        /** When it was last seen to run. */
        long ranAt;

        /**
         * When it started, as the list says on the machines' wall clock, and on the clock of the
         * events.
         */
        long stamp = StartTimes.LONG_AGO;

        long started = StartTimes.LONG_AGO;

        /** It was seen to start, so that the second of these rests on no wall clock. */
        boolean seenToStart;

        Pool pool;
        private double slots = Double.NaN;
        private int errors;
        double reportedFree = Double.NaN;
        double reportedMemory = Double.NaN;
        long reportedAt;

        /** Own slots in use, their mean lately, and how many of others' reports tell of. */
        int own;

        double ownMean;
        double pace = 1;
        long pacedAt;
        private int paced;
        long ownAt;
        double others;
        boolean fresh;
        double sentMemory;
        long pausedUntil;
        long answeredAt = Long.MIN_VALUE / 2; // never: the time since then must not overflow
        int strikes;

        /** Its newest report told of errors, own or others'. */
        boolean failing;

        long coldTurn = -1;
        double coldSpent;

        /** What its own answers allow while no list holds. */
        final WorkerLease lease = new WorkerLease();

        Worker(String id) {
            this.id = id;
            this.salt = HashRing.mix(id.hashCode()) >>> 32;
        }

        /**
         * Takes in what a report says of all its slots; gives that, or else its free ones. A worker
         * that offers its slots by itself is alive, however long it is at a job.
         */
        double told(LoadReport report, long now) {
            if (report.totalSlots() > 0) {
                slots = report.totalSlots();
                answeredAt = now;
            }
            return slots > 0 ? slots : Math.max(0, report.freeSlots());
        }

        /**
         * Whether this end says something about the worker. One that offers its slots by itself
         * says of a single job that it failed, and asks for the next; only several in a row, with
         * nothing done between, are its own.
         */
        boolean suspect(AttemptOutcome outcome) {
            return !(slots > 0) || outcome != AttemptOutcome.ERROR || ++errors > FEW;
        }

        /** This part of its slots is free: tells of those like it as well. */
        void tells(double part, boolean cold, Free[] anywhere, long now) {
            anywhere[cold ? 1 : 0].learn(part, now);
            if (pool != null) {
                pool.like(this, cold).learn(part, now);
            }
        }

        /** It has no free slot just now. */
        void full(int[] ofKinds, boolean cold, Free[] anywhere, long now) {
            others = slots(ofKinds) - own;
            reportedFree = 0;
            reportedAt = now;
            tells(0, cold, anywhere, now);
        }

        /** Its slots: what it says itself, or else what its kind is taken to have. */
        double slots(int[] ofKinds) {
            return slots > 0 ? slots : ofKinds[kind];
        }

        /**
         * Its slots as far as reports show them: what must not be overspent cannot rest on a guess.
         */
        double shown(FreeSeen ofKind) {
            return slots > 0 ? slots : ofKind.shown;
        }

        /** A job there took this many times as long as where its class runs quickly. */
        void paced(double times, long now) {
            pace =
                    pace(now)
                            + Math.max(PACE_WEIGHT, 1.0 / (++paced + 1))
                                    * (Math.min(times, MOST_TIMES) - pace(now));
            pacedAt = now;
            errors = 0;
        }

        /**
         * How many times the usual its jobs take lately; without news it is as usual again after a
         * while.
         */
        double pace(long now) {
            return 1 + (pace - 1) * Math.exp((pacedAt - now) / PACE_US);
        }

        /** Memory of the own jobs there that were sent after this time. */
        double memorySentSince(long time) {
            return out.stream()
                    .filter(a -> a.sent > time)
                    .mapToDouble(a -> a.job.ask.memory())
                    .sum();
        }

        /**
         * Slots of the own jobs there that were sent before this time and are not known to have
         * started.
         */
        int slotsNotStartedSince(long time) {
            int slots = 0;
            for (Attempt a : out) { // on the path of each choice
                slots += a.started == 0 && a.sent < time ? a.job.ask.slots() : 0;
            }
            return slots;
        }

        /** Own slots in use there change; their mean is kept beside them. */
        void own(int change, long now) {
            ownMean += (own - ownMean) * (1 - Math.exp((ownAt - now) / OWN_US));
            ownAt = now;
            own += change;
        }
    }

    /** A job; the one that came first is the least. */
    static final class Job implements Comparable<Job> {
        final JobArrived ask;
        final long arrived;
        final long order;
        final List<Attempt> attempts = new ArrayList<>(1);
        int outstanding;
        int runs;
        boolean ended;
        boolean held;
        int near = 1;
        Attempt risk;

        /** The worker that was probed for its lease last. */
        Worker probed;

        /**
         * Workers that were probed for their load when the job came, and how long their answers are
         * waited for.
         */
        List<Worker> candidates = List.of();

        long looksUntil = Long.MIN_VALUE;

        Job(JobArrived ask, long arrived, long order) {
            this.ask = ask;
            this.arrived = arrived;
            this.order = order;
        }

        @Override
        public int compareTo(Job other) {
            return Long.compare(order, other.order);
        }
    }

    static final class Attempt {
        final Job job;
        final Worker worker;
        final long sent;
        long started;
        boolean open = true;

        Attempt(Job job, Worker worker, long sent) {
            this.job = job;
            this.worker = worker;
            this.sent = sent;
        }
    }

    /** How much a subject is asked for lately. */
    static final class Heat {
        double level;
        long at;
    }

    /**
     * The free slots that workers of a kind have reported, and what they tell about how many there
     * are.
     */
    static final class FreeSeen {
        /**
         * Slots of a worker of which nothing is known yet: most machines have about this many
         * cores.
         */
        static final int GUESSED_SLOTS = 4;

        /**
         * Slots are the largest free figure that this part of the reports reach: noise must not
         * raise it.
         */
        private static final double SLOT_QUANTILE = 0.02;

        private final int[] seen = new int[64];

        /** What the reports alone tell of the slots; one, until two have told of more. */
        private int shown = 1;

        /** Takes a figure in; tells the slots of the kind. */
        int learn(double free) {
            int rounded = Math.min(seen.length - 1, (int) Math.round(free));
            seen[0]++;
            if (rounded > 0) {
                seen[rounded]++;
            }
            int above = 0;
            int v = seen.length - 1;
            while (v > 1 && (above += seen[v]) < Math.max(2, SLOT_QUANTILE * seen[0])) {
                v--;
            }
            shown = v;
            return Math.max(v, seen[0] < 50 ? GUESSED_SLOTS : 1);
        }
    }

    /** The mean share of free slots that the reports of the last seconds tell of. */
    static final class Free {
        /**
         * A report's weight fades over about this long: a release fills the workers that stay
         * within some seconds. Over less, the one or two workers of a kind and zone that a small
         * fleet's pool has would count for too little.
         */
        private static final double FADE_US = 10e6;

        /** What else is known counts as much as this many reports. */
        private static final double PRIOR = 2;

        private double sum;
        private double weight;
        private long at;

        void learn(double share, long now) {
            double kept = kept(now);
            sum = sum * kept + share;
            weight = weight * kept + 1;
            at = now;
        }

        /** The mean; where few reports tell of it, near what is to be expected. */
        double share(double expected, long now) {
            return (sum * kept(now) + expected * PRIOR) / (weight * kept(now) + PRIOR);
        }

        private double kept(long now) {
            return weight == 0 ? 0 : Math.exp((at - now) / FADE_US);
        }
    }

    /** A job class: its rates, its pool, its threshold and its hold. */
    static final class Pool {
        /** How much a subject is asked for counts over about this long. */
        static final double HEAT_US = 10e6;

        final JobClass of;
        final PriorityQueue<Job> hold = new PriorityQueue<>();
        int arrivals;
        double rate;
        double steady;
        double time;
        int timed;
        double slotsPerJob = 1;
        double dealt = 1e-6;
        double median;

        /** How many jobs each worker has run, and their mean time. */
        private final Map<Worker, double[]> byWorker = new HashMap<>();

        final Map<Long, Heat> heat = new HashMap<>();
        double slots;

        /**
         * By kind and zone, first for warm workers and then for cold ones, which all fill unlike.
         */
        private final Free[][] free;

        int share = 1;
        int present;
        boolean full;
        List<Worker> members = List.of();
        Worker[] ring = {};

        Pool(JobClass of, int kinds, int zones) {
            this.of = of;
            this.free = new Free[2 * kinds][zones];
            for (Free[] kind : free) {
                Arrays.setAll(kind, zone -> new Free());
            }
            this.time = Math.max(of.latencyObjectiveUs(), 1);
            this.median = time;
        }

        /** Counts one more job for the subject; gives how many were counted lately. */
        double askedFor(Long subject, long now) {
            Heat of = heat.computeIfAbsent(subject, s -> new Heat());
            of.level = of.level * Math.exp((of.at - now) / HEAT_US) + 1;
            of.at = now;
            return of.level;
        }

        /** Forgets how long jobs took at a worker that is gone. */
        void forget(Worker w) {
            byWorker.remove(w);
        }

        /** Forgets the subjects that are hardly asked for any more. */
        void forgetColdSubjects(long now) {
            heat.values().removeIf(h -> h.level * Math.exp((h.at - now) / HEAT_US) < 0.1);
        }

        /** What the class earns by a slot in a microsecond. */
        double value() {
            return of.priorityWeight() / (time * slotsPerJob);
        }

        /** What is known of the free slots of those like this one. */
        Free like(Worker w, boolean cold) {
            return free[cold ? free.length / 2 + w.kind : w.kind][w.zone];
        }

        /**
         * A job of the class took this long there; tells how many times as long as at its quick
         * workers, the first quarter of all that have run some. The class's own mean only until a
         * few have: where a whole pool is slow, that is as well.
         */
        double timed(Worker w, double took) {
            double[] own = byWorker.computeIfAbsent(w, fresh -> new double[2]);
            own[1] += Math.max(WORKER_WEIGHT, 1 / ++own[0]) * (took - own[1]);
            double[] means =
                    byWorker.values().stream()
                            .filter(mean -> mean[0] >= FEW)
                            .mapToDouble(mean -> mean[1])
                            .sorted()
                            .toArray();
            double usual =
                    means.length >= FEW ? means[means.length / 4] : timed >= FEW ? time : took;
            timed++;
            median *= 1 + Math.max(0.02, 1.0 / timed) * (took > median ? 0.5 : -0.5);
            time += Math.max(TIME_WEIGHT, 1.0 / timed) * (took - time);
            return Math.max(took, NOISE_US) / Math.max(usual, NOISE_US);
        }
    }
}
