package damsonslip.faktory;

import damsonslip.Dispatch.Effect;
import damsonslip.Dispatch.JobClass;
import damsonslip.core.Answer;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import damsonslip.core.Query;
import damsonslip.faktory.sets.Fate;
import damsonslip.faktory.sets.Ledger;
import damsonslip.faktory.sets.Ledger.Entry;
import damsonslip.settings.Site;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.security.SecureRandom;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Carries jobs between the sets, the module and the store. A job that somebody waits for goes to the module as it comes;
 * any other waits in its queue until a FETCH for it waits too, and goes to the module then, as far as the module admits.
 * What becomes of a job is {@link Fate}'s decision; which worker gets it, and whether it is turned away, the module's.
 */
final class Desk {
    /** Due jobs that go to their queues in one turn: ten thousand at once must not keep the loop from anybody. */
    private static final int DUE_AT_ONCE = 200;
    private static final long SWEEP_US = 100_000;
    /** What the module turned away without a figure, or with a tiny one, is offered again no sooner. */
    private static final long LEAST_PAUSE_US = 10_000;
    /** A FETCH that the module has left alone for this long is of no use to what waits there. */
    private static final long LEFT_US = 150_000;
    /** Jobs in the store's queue beyond which nothing further is handed over: each still needs two writes. */
    private static final int STORE_BUSY = 5_000;
    /** The housekeeping that may take a while is done once in so many sweeps. */
    private static final int RARELY = 100;
    /** What a worker needs beyond its reservation before the module gives a run up. */
    private static final long BEYOND_RESERVE_MS = 5_000;

    private final Loop loop;
    private final Site site;
    private final Driver driver;
    private final AsyncStore store;
    private final Phase phase;
    private final Counters counters;
    private final Ledger ledger;
    private final Fetchers fetchers;
    private final boolean fair;
    private final SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    /** By class: nothing of it is offered to the module before this time. */
    private final long[] blockedUntilUs;
    private Consumer<String> batchChanged = bid -> { };
    private Consumer<JobRecord> succeeded = record -> { };
    /** What the module has of jobs that nobody waits for. */
    private final Set<Handover> offered = new LinkedHashSet<>();
    private boolean feeding;
    private int sweeps;

    Desk(Loop loop, Site site, Driver driver, AsyncStore store, Phase phase, Counters counters, Ledger ledger,
         Fetchers fetchers, boolean fair) {
        this.loop = loop;
        this.site = site;
        this.driver = driver;
        this.store = store;
        this.phase = phase;
        this.counters = counters;
        this.ledger = ledger;
        this.fetchers = fetchers;
        this.fair = fair;
        this.blockedUntilUs = new long[site.classNames().size()];
        loop.in(SWEEP_US, this::sweep);
    }

    /** Who wants to know of batches whose jobs changed, and of jobs that succeeded. */
    void watch(Consumer<String> batches, Consumer<JobRecord> successes) {
        batchChanged = batches;
        succeeded = successes;
    }

    Ledger ledger() {
        return ledger;
    }

    long nowMs() {
        return loop.now() / 1000;
    }

    JobClass classOf(Entry entry) {
        return site.settings().classes().get(entry.jobClass());
    }

    /** Jobs with the module or a worker that somebody waits for. */
    int awaited() {
        return driver.open() - offered.size();
    }

    // ---- into the sets

    /** Takes up a job that the store has; tells a refusal that came at once, or null. */
    String enter(JobRecord record, int jobClass) {
        Entry entry = ledger.add(record, jobClass);
        ledger.enqueued(entry, record.state() == JobRecord.State.QUEUED ? nowMs() : 0);
        if (record.state() == JobRecord.State.QUEUED && record.awaited()) {
            return handOver(entry);
        }
        feedSoon();
        return null;
    }

    /** To the end of its queue. */
    void enqueue(Entry entry) {
        ledger.move(entry, entry.record().queued(ledger.nextSeq(), nowMs()));
        ledger.enqueued(entry, nowMs());
        if (entry.record().awaited()) {
            handOver(entry);
        }
    }

    /** Moves a job to another set, or to its end, and writes that; {@code told} hears of an error, or null. */
    void moveTo(Entry entry, JobRecord next, Consumer<String> told) {
        if (next.state().isFinal()) {
            ledger.remove(entry);
        } else {
            ledger.move(entry, next);
        }
        store.keep(next, () -> told.accept(null), () -> told.accept("ERR the store is down; the word is kept here and "
            + "written once it is back"));
        if (!next.facts().bid().isEmpty()) {
            batchChanged.accept(next.facts().bid());
        }
        if (next.state() == JobRecord.State.SUCCESS) {
            succeeded.accept(next);
        }
    }

    void moveTo(Entry entry, JobRecord next) {
        moveTo(entry, next, error -> { });
    }

    // ---- to the module

    /** Offers jobs to the module once what is at hand is done; called whenever there may be room. */
    void feedSoon() {
        if (!feeding) {
            feeding = true;
            loop.execute(() -> {
                feeding = false;
                feed();
            });
        }
    }

    private void feed() {
        if (phase.atLeast(State.FINISHING) || !store.up() || store.waiting() > STORE_BUSY) {
            return;
        }
        for (Fetchers.Offered offer : List.copyOf(fetchers.offers())) {
            IntPredicate open = jobClass -> admits(jobClass, offer.sinceUs());
            Entry next = ledger.next(offer.queues(), fair, nowMs(), open);
            while (next != null && fetchers.offered(offer.queues())) {
                if (!expired(next)) {
                    handOver(next);
                }
                next = ledger.next(offer.queues(), fair, nowMs(), open);
            }
        }
    }

    /**
     * Whether jobs of this class may be offered: not while others wait in the module, which somebody may wait for,
     * unless these have left a FETCH alone for so long that they cannot use it.
     */
    private boolean admits(int jobClass, long offeredUs) {
        return loop.now() >= blockedUntilUs[jobClass]
            && (driver.pools().get(jobClass).held() == 0 || loop.now() - offeredUs > LEFT_US);
    }

    /**
     * Takes jobs that nobody waits for back from the module when no worker offers a slot for their queue any more.
     * Guards their class against standing still behind a queue that nobody fetches.
     */
    private void recall() {
        long before = loop.now() - LEFT_US;
        for (Handover handover : List.copyOf(offered)) {
            boolean idle = handover.entry.record().state() == JobRecord.State.QUEUED && !handover.ran;
            if (idle && handover.sinceUs < before && !fetchers.offered(handover.queue())) {
                offered.remove(handover);
                driver.gone(handover.exchange);
                ledger.comesBack(handover.entry, 0);
            }
        }
    }

    private boolean expired(Entry entry) {
        long until = entry.record().facts().expiresMs();
        if (until == 0 || until > nowMs()) {
            return false;
        }
        counters.add(Count.JOBS_EXPIRED);
        moveTo(entry, entry.record().to(JobRecord.State.DISCARDED, 0, "its time to run was over", nowMs()));
        return true;
    }

    /**
     * Gives a job to the module; tells a refusal that came at once, or null. A job that nobody waits for has its time
     * from here on, and runs once: its next try is for the sets to say, at the protocol's own pace. One with a reply key
     * is the module's to repeat, since only the module knows the zone and the window in which it may.
     */
    private String handOver(Entry entry) {
        JobRecord record = entry.record();
        if (driver.holds(record.id())) { // an earlier run's end is on its way still
            ledger.comesBack(entry, nowMs() + 100);
            return null;
        }
        if (!Fate.mayRun(record, classOf(entry), nowMs())) { // guards the rule, whoever put it into its queue
            moveTo(entry, record.to(JobRecord.State.DEAD, nowMs(), "it may have run and must not run twice", nowMs()));
            return null;
        }
        Effect effect = classOf(entry).effect();
        int retries = Math.max(0, record.facts().retry());
        int mostRuns = effect == Effect.UNSAFE || effect == Effect.SAFE && !record.awaited() ? 1 : retries + 1;
        long deadlineMs = record.awaited() ? record.facts().deadlineMs() : nowMs()
            + Math.max(site.deadlineUs(entry.jobClass()) / 1000, record.facts().reserveMs() + BEYOND_RESERVE_MS);
        String queue = record.facts().queue();
        Handover handover = new Handover(entry, loop.now());
        ledger.handOver(entry);
        if (!record.awaited()) {
            offered.add(handover);
        }
        String[] refused = new String[1];
        handover.exchange = driver.take(new Query(record.id(), entry.jobClass(), 0, deadlineMs * 1000,
            record.facts().slots(), 0, null, mostRuns,
            worker -> !ledger.paused(queue) && fetchers.fetches(worker, queue), handover),
            answer -> refused[0] = answered(handover, answer));
        return refused[0];
    }

    /** The module's final answer; gives the words of a refusal, or null. */
    private String answered(Handover handover, Answer answer) {
        Entry entry = handover.entry;
        offered.remove(handover);
        if (ledger.get(entry.id()) != entry) {
            return null; // thrown away by an operator meanwhile
        }
        Consumer<String> told = handover.teller == null ? error -> { } : handover.teller;
        handover.teller = null;
        if (answer.kind() == Answer.Kind.SERVED) {
            moveTo(entry, entry.record().to(JobRecord.State.SUCCESS, 0, "", nowMs()), told);
        } else if (entry.record().awaited()) {
            return ended(handover, answer, told);
        } else if (handover.ran) {
            ledger.comesBack(entry, 0);
            fail(entry, handover.failure == null ? Fate.Words.LATE : handover.failure, told);
        } else {
            long pauseUs = Math.max(LEAST_PAUSE_US, answer.retryAfterUs());
            blockedUntilUs[entry.jobClass()] = loop.now() + pauseUs;
            ledger.comesBack(entry, 0);
            unreserve(handover);
            loop.in(pauseUs, this::feedSoon);
        }
        feedSoon();
        return null;
    }

    /** What was on its way to a worker, and provably never left, is queued again. */
    void unreserve(Handover handover) {
        Entry entry = handover.entry;
        if (ledger.get(entry.id()) == entry && entry.record().state() == JobRecord.State.RESERVED && !handover.ran) {
            ledger.move(entry, entry.record().handedBack(handover.ranBefore, nowMs()));
            store.keep(entry.record());
        }
    }

    /** The end of a job that somebody waited for. */
    private String ended(Handover handover, Answer answer, Consumer<String> told) {
        Entry entry = handover.entry;
        boolean mayHaveRun = handover.ran || handover.ranBefore;
        String words = words(answer) + (handover.failure == null ? "" : "; " + handover.failure.type() + ": "
            + handover.failure.message());
        JobRecord record = entry.record();
        if (mayHaveRun && classOf(entry).effect() != Effect.SAFE) {
            moveTo(entry, record.to(JobRecord.State.DEAD, nowMs(), "it may have run; " + words, nowMs()), told);
            return null;
        }
        boolean refused = answer.kind() == Answer.Kind.THROTTLED;
        moveTo(entry, record.to(refused ? JobRecord.State.REFUSED : JobRecord.State.FAILED, 0, words, nowMs()), told);
        return refused ? "ERR " + words : null;
    }

    private static String words(Answer answer) {
        return switch (answer.kind()) {
            case SERVED -> "";
            case THROTTLED -> answer.retryAfterUs() == 0 ? "throttled"
                : String.format(Locale.ROOT, "throttled, retry after %.3f s", answer.retryAfterUs() / 1e6);
            case FAILED -> answer.late() ? "out of time" : "failed";
        };
    }

    /** A run has failed, and nobody waits for the job. */
    private void fail(Entry entry, Fate.Words how, Consumer<String> told) {
        counters.add(Count.RUNS_FAILED);
        Fate.Next next = Fate.failed(entry.record(), classOf(entry), how, nowMs(), random);
        moveTo(entry, entry.record().failed(next.failure()).to(next.state(), next.dueMs(), next.words(), nowMs()), told);
    }

    // ---- words on jobs that the module does not have

    /**
     * A worker tells of a job that it got before a restart, or whose reservation has run out since. The first is its
     * end; the second counts only where it proves that a job which waits for another try has been done.
     *
     * @param how how it failed; null if it was done
     * @return whether the word counts
     */
    boolean settle(String worker, String jid, Fate.Words how, Consumer<String> told) {
        Entry entry = ledger.get(jid);
        if (entry == null || entry.handed() || !entry.record().worker().equals(worker)) {
            return false;
        }
        JobRecord record = entry.record();
        boolean waits = !record.awaited() && how == null
            && (record.state() == JobRecord.State.RETRY || record.state() == JobRecord.State.DEAD);
        if (record.state() != JobRecord.State.RESERVED && !waits) {
            return false;
        }
        if (how == null) {
            counters.add(Count.ANSWERS_SERVED);
            moveTo(entry, record.to(JobRecord.State.SUCCESS, 0, "", nowMs()), told);
        } else {
            lapse(entry, how, told);
        }
        return true;
    }

    /** The end of a run that no handover stands for any more. */
    private void lapse(Entry entry, Fate.Words how, Consumer<String> told) {
        counters.add(Count.ANSWERS_FAILED);
        JobRecord record = entry.record();
        if (!record.awaited()) {
            fail(entry, how, told);
        } else if (classOf(entry).effect() == Effect.SAFE) {
            moveTo(entry, record.to(JobRecord.State.FAILED, 0, how.message(), nowMs()), told);
        } else {
            moveTo(entry, record.to(JobRecord.State.DEAD, nowMs(), "it may have run before a restart; " + how.message(),
                nowMs()), told);
        }
    }

    /** Awaits a worker's word on a job from before a restart; a worker that has not come back is not awaited for long. */
    void awaitWord(Entry entry) {
        long untilMs = Fate.wordUntilMs(entry.record());
        loop.at(Math.min(untilMs, nowMs() + Fate.ORPHAN_MS) * 1000, () -> look(entry, untilMs));
    }

    private void look(Entry entry, long untilMs) {
        if (ledger.get(entry.id()) != entry || entry.handed() || entry.record().neverRan()
            || entry.record().state() != JobRecord.State.RESERVED && entry.record().state() != JobRecord.State.QUEUED) {
            return;
        }
        if (nowMs() < untilMs && fetchers.present(entry.record().worker())) {
            loop.at(untilMs * 1000, () -> look(entry, untilMs));
        } else {
            lapse(entry, Fate.Words.LAPSED, error -> { });
        }
    }

    // ---- what time brings

    private void sweep() {
        try {
            if (phase.is(State.SERVING) || phase.is(State.LEAVING)) {
                due();
                recall();
                feedSoon();
                if (++sweeps % RARELY == 0) {
                    ledger.deadTooLong(nowMs()).forEach(entry -> moveTo(entry,
                        entry.record().to(JobRecord.State.DISCARDED, 0, "dead for too long", nowMs())));
                    ledger.forgetLocks(nowMs());
                }
            }
        } finally {
            loop.in(SWEEP_US, this::sweep);
        }
    }

    /**
     * Brings due jobs to their queues, some at a time, so that others have their turn between. That is not written: to
     * a start, a scheduled job whose time is over is as good as a queued one.
     */
    private void due() {
        List<Entry> due = ledger.due(nowMs(), DUE_AT_ONCE);
        for (Entry entry : due) {
            if (!expired(entry)) {
                enqueue(entry);
            }
        }
        if (!due.isEmpty()) {
            feedSoon();
        }
        if (due.size() == DUE_AT_ONCE) {
            loop.execute(this::due);
        }
    }
}
