package damsonslip;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.DiscoveryWatch.Loss;
import damsonslip.membership.ProbeResult;
import java.util.List;
import java.util.function.Predicate;

/**
 * The interface between a dispatcher and its decisions: settings, events and actions.
 *
 * <p>One {@link Rules} object decides for one dispatcher. The dispatcher hands it every event in
 * the order of arrival, from one thread at a time, and carries out the actions it gets back in the
 * order listed. All times are microseconds of one clock that never goes backwards; where that clock
 * begins does not matter. Indices of classes, tenants, zones and kinds count from 0. After a
 * restart a dispatcher starts with a new object, which gets the kept list first.
 */
public interface Dispatch {

    /** What a repeat of a job does. */
    enum Effect {
        /** May run any number of times. */
        SAFE,
        /** Repeats are dropped within a group of workers and a window of time. */
        KEYED,
        /** Must not run twice. */
        UNSAFE
    }

    /**
     * The workers that drop a keyed job's repeats: all, those of one zone, or those of one cell.
     */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum Outcome {
        SERVED,
        ERROR,
        FULL,
        TIMED_OUT,
        NOT_CONNECTED,
        RESET,
        CANCELLED,
        NEVER_SENT;

        /** Whether this outcome proves that the job did not run. */
        public boolean provesNotRun() {
            return this == FULL || this == NOT_CONNECTED || this == NEVER_SENT;
        }
    }

    /** What the list of workers says about one of them. */
    enum Status {
        RUNNING,
        DRAINING,
        GONE
    }

    /**
     * What a list update holds: changes, the whole list, the one kept over a restart, changes that
     * an operator made here; or nothing, where a call failed or a watch broke, no connection came
     * up, an open watch fell silent, or this machine could not even make the call.
     */
    enum ListMode {
        CHANGES(null),
        COMPLETE(null),
        KEPT(null),
        OVERRIDES(null),
        FAILED(Loss.FAILED),
        UNREACHABLE(Loss.UNREACHABLE),
        SILENT(Loss.SILENT),
        NOT_CALLED(Loss.NOT_CALLED);

        /** How the call or the watch ended, or null if this holds news. */
        final Loss loss;

        ListMode(Loss loss) {
            this.loss = loss;
        }

        /** Whether a worker that it does not name has gone. */
        boolean isWhole() {
            return this == COMPLETE || this == KEPT;
        }

        /** Whether it comes from discovery, and now. */
        boolean isNews() {
            return this == CHANGES || this == COMPLETE;
        }

        /** Whether it tells of an end instead of workers. */
        public boolean isLoss() {
            return loss != null;
        }
    }

    /** Where load reports come from. */
    enum Reporting {
        WITH_ANSWERS,
        BY_PROBE,
        NONE
    }

    /**
     * A job class.
     *
     * @param aimUs an answer within this time, plus stretch times the running time, earns full
     *     worth
     * @param stretch how much of its own running time extends the aim
     * @param worth what a job in time is worth
     * @param effect what a repeat does
     * @param group for keyed jobs, who drops repeats
     * @param windowUs for keyed jobs, for how long after the first send
     * @param kind the only kind of worker that runs it, or -1
     */
    record JobClass(
            long aimUs,
            double stretch,
            double worth,
            Effect effect,
            Group group,
            long windowUs,
            int kind) {}

    /**
     * What the dispatcher is told once, before anything else.
     *
     * @param dispatchers how many dispatchers share the workers
     * @param number this one's number among them, from 0
     * @param zone this one's zone
     * @param zones how many zones there are
     * @param kinds how many kinds of worker there are
     * @param classes the job classes
     * @param tenantQuotas jobs a second within each tenant's share, over all dispatchers; or empty
     * @param limits what is allowed
     * @param guarantees the figures of the four rules
     * @param reporting where load reports come from
     * @param listOnRequest whether the list of workers comes only when asked for
     * @param tellsStart whether workers say when a job starts
     * @param tickUs the least time between two events of a dispatcher
     * @param probesTellDrains whether a worker that drains does not answer a probe as one that
     *     takes work
     */
    record Settings(
            int dispatchers,
            int number,
            int zone,
            int zones,
            int kinds,
            List<JobClass> classes,
            List<Double> tenantQuotas,
            Limits limits,
            Guarantees guarantees,
            Reporting reporting,
            boolean listOnRequest,
            boolean tellsStart,
            long tickUs,
            boolean probesTellDrains) {
        public Settings {
            classes = List.copyOf(classes);
            tenantQuotas = List.copyOf(tenantQuotas);
            require(!classes.isEmpty(), "settings: classes: there are none");
            require(dispatchers >= 1, "settings: dispatchers: " + dispatchers);
            boolean numbered = number >= 0 && number < dispatchers;
            require(numbered, "settings: number: " + number + " of " + dispatchers);
            require(zone >= 0 && zone < zones, "settings: zone: " + zone + " of " + zones);
            require(kinds >= 1, "settings: kinds: " + kinds);
            require(tickUs >= 0, "settings: tick: " + tickUs);
            for (JobClass c : classes) {
                require(c.aimUs() >= 0, "settings: aim: " + c.aimUs());
                require(c.stretch() >= 0, "settings: stretch: " + c.stretch());
                require(c.worth() >= 0, "settings: worth: " + c.worth());
                require(c.windowUs() >= 0, "settings: window: " + c.windowUs());
                require(
                        c.kind() >= -1 && c.kind() < kinds,
                        "settings: kind of a class: " + c.kind());
            }
            for (double quota : tenantQuotas) {
                require(quota >= 0, "settings: quota: " + quota);
            }
        }

        /** Settings of a site where probes tell nothing of drains. */
        public Settings(
                int dispatchers,
                int number,
                int zone,
                int zones,
                int kinds,
                List<JobClass> classes,
                List<Double> tenantQuotas,
                Limits limits,
                Guarantees guarantees,
                Reporting reporting,
                boolean listOnRequest,
                boolean tellsStart,
                long tickUs) {
            this(
                    dispatchers,
                    number,
                    zone,
                    zones,
                    kinds,
                    classes,
                    tenantQuotas,
                    limits,
                    guarantees,
                    reporting,
                    listOnRequest,
                    tellsStart,
                    tickUs,
                    false);
        }

        /** The same for one of so many dispatchers. */
        Settings among(Divided e) {
            return new Settings(
                    e.dispatchers(),
                    e.number(),
                    zone,
                    zones,
                    kinds,
                    classes,
                    tenantQuotas,
                    limits,
                    guarantees,
                    reporting,
                    listOnRequest,
                    tellsStart,
                    tickUs,
                    probesTellDrains);
        }

        /** The same where a worker that drains does not answer a probe as one that takes work. */
        public Settings withProbesThatTellDrains() {
            return new Settings(
                    dispatchers,
                    number,
                    zone,
                    zones,
                    kinds,
                    classes,
                    tenantQuotas,
                    limits,
                    guarantees,
                    reporting,
                    listOnRequest,
                    tellsStart,
                    tickUs,
                    true);
        }

        /** Whether workers can be asked themselves whether they take work, where no list holds. */
        boolean leasesByProbe() {
            return probesTellDrains && listOnRequest && limits.mayProbe();
        }

        /** This dispatcher's watch on discovery, not begun yet. */
        DiscoveryWatch watchOfDiscovery() {
            return new DiscoveryWatch(
                    dispatchers, number, guarantees.askEveryUs(), guarantees.drainGraceUs());
        }

        /**
         * Rejects an event that names a class, tenant, zone or kind that these settings do not
         * have.
         */
        void check(Event event) {
            if (event instanceof JobArrived e) {
                require(
                        e.jobClass() >= 0 && e.jobClass() < classes.size(),
                        "unknown class: " + e.jobClass());
                int tenants = Math.max(1, tenantQuotas.size());
                require(e.tenant() >= 0 && e.tenant() < tenants, "unknown tenant: " + e.tenant());
            } else if (event instanceof ListUpdate e) {
                for (Worker w : e.workers()) {
                    require(w.kind() < kinds, "unknown kind: " + w.kind());
                    require(w.zone() >= 0 && w.zone() < zones, "unknown zone: " + w.zone());
                }
            }
        }
    }

    /**
     * What is allowed.
     *
     * @param maxAttempts attempts for one job
     * @param mayCancel whether attempts may be called off
     * @param mayProbe whether workers may be probed
     * @param probePrice points of service for one probe a job
     * @param zonePrice points of service for an attempt that crosses zones, a job
     */
    record Limits(
            int maxAttempts,
            boolean mayCancel,
            boolean mayProbe,
            double probePrice,
            double zonePrice) {
        public Limits {
            require(maxAttempts >= 1, "settings: attempts: " + maxAttempts);
            require(probePrice >= 0, "settings: price of a probe: " + probePrice);
            require(zonePrice >= 0, "settings: price of crossing zones: " + zonePrice);
        }
    }

    /**
     * The figures of the four rules.
     *
     * @param answerGraceUs how long after the client's deadline a final answer still counts
     * @param drainGraceUs how soon sends to a draining worker must end
     * @param askEveryUs how often a list that is not watched has to be asked for at the least
     * @param coldShare the share of its capacity that a worker starts with
     * @param coldUs when it is warm
     * @param fallMultiple more than this multiple of its present capacity,
     * @param fallUs for this long, pushes a cold worker over
     */
    record Guarantees(
            long answerGraceUs,
            long drainGraceUs,
            long askEveryUs,
            double coldShare,
            long coldUs,
            double fallMultiple,
            long fallUs) {
        public Guarantees {
            require(answerGraceUs >= 0, "settings: grace to answer: " + answerGraceUs);
            require(drainGraceUs >= 0, "settings: drain grace: " + drainGraceUs);
            require(askEveryUs >= 0, "settings: ask every: " + askEveryUs);
            require(coldShare > 0 && coldShare <= 1, "settings: cold share: " + coldShare);
            require(coldUs >= 0, "settings: cold time: " + coldUs);
            require(fallMultiple > 0, "settings: fall multiple: " + fallMultiple);
            require(fallUs > 0, "settings: fall time: " + fallUs);
        }

        /** The worst share of its capacity that a worker may have at this age. */
        double warmth(long age) {
            return Math.min(1, coldShare + (1 - coldShare) * Math.max(0, age) / coldUs);
        }
    }

    /**
     * A worker as the list names it.
     *
     * @param startedUs when it last started, or {@link Long#MIN_VALUE} if long past
     */
    record Worker(String id, int zone, int cell, int kind, Status status, long startedUs) {
        public Worker {
            require(id != null, "a worker without an id");
            require(kind >= 0, "kind of a worker: " + kind);
        }
    }

    /**
     * A load report; a figure that it does not hold is NaN. {@code slots} are all that the worker
     * has, as a worker tells that offers them by itself; {@code errors} are those a second.
     */
    record Report(double freeSlots, double freeMemory, double held, double slots, double errors) {
        public Report(double freeSlots, double freeMemory, double held) {
            this(freeSlots, freeMemory, held, Double.NaN, Double.NaN);
        }

        /** A report of a worker that offers its slots by itself. */
        public static Report offered(
                double freeSlots, double freeMemory, double held, double slots) {
            return new Report(freeSlots, freeMemory, held, slots, Double.NaN);
        }
    }

    /** What happens to a dispatcher. */
    sealed interface Event {}

    /**
     * The list of workers, or changes to it, or the end of a call or a watch; {@code heardUs} tells
     * for a watch that fell silent when it last said something, and for a list that was kept when
     * the process that begins with it was launched.
     */
    record ListUpdate(ListMode mode, List<Worker> workers, long heardUs) implements Event {
        public ListUpdate {
            workers = List.copyOf(workers);
        }

        public ListUpdate(ListMode mode, List<Worker> workers) {
            this(mode, workers, Long.MAX_VALUE);
        }

        /** Tells what is no end of a call or a watch. */
        void tell(DiscoveryWatch watch) {
            if (mode.isNews()) {
                watch.received();
            } else if (mode == ListMode.KEPT && heardUs != Long.MAX_VALUE) {
                watch.launched(heardUs);
            }
        }
    }

    /** What is known of discovery's address after the operators have asked for a reload. */
    enum AddressNews {
        /** The configuration cannot be read at the moment, and may name another address. */
        UNREAD,
        /** The configuration was read, or refused for what it says. */
        READ,
        /** It names another address, where discovery has yet to tell its list. */
        MOVED,
        /** Discovery has told its list at its new address. */
        HEARD
    }

    /**
     * News of discovery's address; {@code sinceUs} is when the operators asked for the reload that
     * brought them.
     */
    record DiscoveryAddress(AddressNews news, long sinceUs) implements Event {
        void tell(DiscoveryWatch watch) {
            switch (news) {
                case UNREAD -> watch.configurationUnread(sinceUs);
                case READ -> watch.configurationRead();
                case MOVED -> watch.moved(sinceUs);
                case HEARD -> watch.heardWhereItMoved();
            }
        }
    }

    /**
     * A client's job; {@code subject} is null where jobs belong to no program or data set, and
     * {@code mostRuns} bounds the attempts that may have run below what its class allows; {@code
     * fits} tells which workers can take the job at all, by id, and is null if each can.
     */
    record JobArrived(
            String job,
            int jobClass,
            int tenant,
            Long subject,
            long deadlineUs,
            int slots,
            double memory,
            int mostRuns,
            Predicate<String> fits)
            implements Event {
        public JobArrived {
            require(job != null, "a job without an id");
            require(slots >= 1, "slots of a job: " + slots);
            require(mostRuns >= 1, "runs of a job: " + mostRuns);
        }

        public JobArrived(
                String job,
                int jobClass,
                int tenant,
                Long subject,
                long deadlineUs,
                int slots,
                double memory) {
            this(
                    job,
                    jobClass,
                    tenant,
                    subject,
                    deadlineUs,
                    slots,
                    memory,
                    Integer.MAX_VALUE,
                    null);
        }

        /** Whether this worker can take it. */
        boolean fits(String worker) {
            return fits == null || fits.test(worker);
        }
    }

    /** An attempt's job has started. */
    record AttemptStarted(String job, int attempt) implements Event {}

    /** An attempt has ended; {@code closed} tells that the job has its final answer. */
    record AttemptEnded(String job, int attempt, Outcome outcome, boolean closed, Report report)
            implements Event {}

    /** The client has gone; nothing more is owed. */
    record JobGone(String job) implements Event {}

    /** A probe has ended; {@code report} may be null. */
    record ProbeEnded(String worker, ProbeResult result, Report report) implements Event {}

    /**
     * The other side, or the network, has ended a connection to a worker on which nothing was under
     * way.
     */
    record ConnectionLost(String worker) implements Event {}

    /**
     * From now on so many dispatchers count as sharing the workers, and this one has that number
     * among them.
     */
    record Divided(int dispatchers, int number) implements Event {}

    /** A timer of this dispatcher's is due. */
    record TimerDue(String label) implements Event {}

    /** What a dispatcher shall do. */
    sealed interface Action {}

    /** Start an attempt; a job's attempts are numbered from 0 in this order. */
    record Send(String job, String worker, long timeoutUs) implements Action {}

    /** Call an attempt off. */
    record Cancel(String job, int attempt) implements Action {}

    /** Final answer: turned away, trying again is harmless and makes sense after this long. */
    record Refuse(String job, long retryAfterUs) implements Action {}

    /** Final answer: failed, with no promise. */
    record Fail(String job) implements Action {}

    /**
     * Ask a worker for its load, and whether it takes work; over a connection that came up by that
     * time, or over any if that is {@link Long#MAX_VALUE}.
     */
    record Probe(String worker, long connectedByUs) implements Action {}

    /** Wake this dispatcher with {@link TimerDue} at this time. */
    record SetTimer(long atUs, String label) implements Action {}

    /** Ask for changes of the list from now on. */
    record WatchList() implements Action {}

    /** Leave a line in the dispatcher's log. */
    record Log(String text) implements Action {}

    /** How a class's pool stands, for people to read. */
    record PoolState(
            int jobClass,
            int workers,
            double slots,
            double rate,
            double timeUs,
            double freeShare,
            int present,
            int held,
            int share) {}

    /**
     * How a worker stands, as far as this dispatcher knows; {@code pool} is a class or -1, {@code
     * coldPartUs} the work that it may send there in the window at hand while the worker is cold,
     * in microseconds of slots.
     */
    record WorkerState(
            String id,
            int zone,
            int kind,
            boolean running,
            boolean cold,
            boolean paused,
            int out,
            double free,
            int pool,
            double coldPartUs) {}

    /**
     * What a cold worker was sent from here in its window, and what it bears there from all
     * dispatchers; both in requests of mean work.
     */
    record ColdLoad(double requests, double bearable) {}

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
