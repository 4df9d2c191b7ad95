package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.Request;
import damsonslip.engine.Response;
import damsonslip.engine.SchedulerEngine;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.JobClass;
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
 * Moves jobs between their sets, the decision module and the store. A job whose client waits for it
 * (an awaited job) is dispatched to the decision module at once. Any other stays in its queue until
 * a FETCH for that queue waits, and is dispatched then, as far as the decision module has room.
 *
 * <p>{@link RetryPolicy} decides what follows a failed run; the decision module alone decides which
 * worker gets a job and whether it is rejected. Confined to the event loop.
 */
final class JobCoordinator {
    /**
     * Due jobs that are enqueued in one task of the loop, so that ten thousand at once do not hold
     * up other tasks.
     */
    private static final int DUE_BATCH = 200;

    private static final long SWEEP_US = 100_000;

    /** Until a job whose previous attempt has not ended in the engine yet is tried again. */
    private static final long REDISPATCH_DELAY_MS = 100;

    /** Pause after a rejection that names no time to come back, or a shorter one. */
    private static final long MIN_BACKOFF_US = 10_000;

    /**
     * A FETCH that was not used for this long cannot be used by the jobs that the decision module
     * holds.
     */
    private static final long UNUSED_FETCH_US = 150_000;

    /**
     * No further jobs are dispatched while the store has this many pending operations: each job
     * needs two more writes.
     */
    private static final int MAX_STORE_BACKLOG = 5_000;

    /** Slow housekeeping is done once in so many sweeps. */
    private static final int SWEEPS_PER_HOUSEKEEPING = 100;

    /**
     * Time beyond a reservation until the decision module gives a run up, so that the reservation
     * expires first.
     */
    private static final long RESERVATION_MARGIN_MS = 5_000;

    private final EventLoop loop;
    private final SiteSettings site;
    private final SchedulerEngine driver;
    private final AsyncStore store;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final JobTable jobTable;
    private final FetchDirectory fetchDirectory;
    private final boolean fair;
    private final SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());

    /** By class: no job of it is dispatched before this time. */
    private final long[] blockedUntilUs;

    private Consumer<String> batchListener = bid -> {};
    private Consumer<JobRecord> successListener = record -> {};

    /** Dispatched jobs that no client waits for. */
    private final Set<DispatchedJob> unawaited = new LinkedHashSet<>();

    private boolean dispatchPending;
    private int sweeps;

    JobCoordinator(
            EventLoop loop,
            SiteSettings site,
            SchedulerEngine driver,
            AsyncStore store,
            LifecyclePhase phase,
            Counters counters,
            JobTable jobTable,
            FetchDirectory fetchDirectory,
            boolean fair) {
        this.loop = loop;
        this.site = site;
        this.driver = driver;
        this.store = store;
        this.phase = phase;
        this.counters = counters;
        this.jobTable = jobTable;
        this.fetchDirectory = fetchDirectory;
        this.fair = fair;
        this.blockedUntilUs = new long[site.classNames().size()];
        loop.in(SWEEP_US, this::sweep);
    }

    /**
     * Sets the listeners for batches whose jobs have changed, by id, and for jobs that have
     * succeeded.
     */
    void setListeners(Consumer<String> batches, Consumer<JobRecord> successes) {
        batchListener = batches;
        successListener = successes;
    }

    JobTable jobTable() {
        return jobTable;
    }

    long nowMs() {
        return loop.now() / 1000;
    }

    JobClass classOf(JobEntry entry) {
        return site.settings().classes().get(entry.jobClass());
    }

    /** The number of dispatched jobs that a client waits for. */
    int awaitedCount() {
        return driver.open() - unawaited.size();
    }

    // ---- sets

    /** Adds a job that the store has recorded; returns an immediate rejection, or null. */
    String admit(JobRecord record, int jobClass) {
        JobEntry entry = jobTable.add(record, jobClass);
        jobTable.setEnqueuedMs(entry, record.state() == JobRecord.State.QUEUED ? nowMs() : 0);
        if (record.state() == JobRecord.State.QUEUED && record.hasWaitingClient()) {
            return dispatch(entry);
        }
        dispatchSoon();
        return null;
    }

    /** Appends a job to its queue. */
    void enqueue(JobEntry entry) {
        jobTable.move(entry, entry.record().enqueued(jobTable.nextSequence(), nowMs()));
        jobTable.setEnqueuedMs(entry, nowMs());
        if (entry.record().hasWaitingClient()) {
            dispatch(entry);
        }
    }

    /**
     * Moves a job to another set, or ends it, and records that in the store.
     *
     * @param acknowledge called once the store has recorded it, with an error or null
     */
    void transition(JobEntry entry, JobRecord next, Consumer<String> acknowledge) {
        if (next.state().isFinal()) {
            jobTable.remove(entry);
        } else {
            jobTable.move(entry, next);
        }
        store.write(
                next,
                () -> acknowledge.accept(null),
                () ->
                        acknowledge.accept(
                                "ERR the store is down; the word is kept here and written once it"
                                        + " is back"));
        if (!next.options().batchId().isEmpty()) {
            batchListener.accept(next.options().batchId());
        }
        if (next.state() == JobRecord.State.SUCCESS) {
            successListener.accept(next);
        }
    }

    void transition(JobEntry entry, JobRecord next) {
        transition(entry, next, error -> {});
    }

    // ---- dispatch

    /** Dispatches waiting jobs in a later task of the loop; called whenever there may be room. */
    void dispatchSoon() {
        if (!dispatchPending) {
            dispatchPending = true;
            loop.execute(
                    () -> {
                        dispatchPending = false;
                        dispatchWaiting();
                    });
        }
    }

    private void dispatchWaiting() {
        if (phase.atLeast(State.FINISHING)
                || !store.isAvailable()
                || store.pendingCount() > MAX_STORE_BACKLOG) {
            return;
        }
        for (FetchDirectory.WaitingFetch fetch : List.copyOf(fetchDirectory.waitingFetches())) {
            IntPredicate open = jobClass -> mayDispatch(jobClass, fetch.sinceUs());
            JobEntry next = jobTable.next(fetch.queues(), fair, nowMs(), open);
            while (next != null && fetchDirectory.isFetchWaiting(fetch.queues())) {
                if (!discardIfExpired(next)) {
                    dispatch(next);
                }
                next = jobTable.next(fetch.queues(), fair, nowMs(), open);
            }
        }
    }

    /**
     * Whether jobs of this class may be dispatched. Not while the decision module holds others of
     * the class, which may be awaited, unless the FETCH has waited for so long that those cannot
     * use it.
     */
    private boolean mayDispatch(int jobClass, long fetchSinceUs) {
        return loop.now() >= blockedUntilUs[jobClass]
                && (driver.pools().get(jobClass).queued() == 0
                        || loop.now() - fetchSinceUs > UNUSED_FETCH_US);
    }

    /**
     * Withdraws unawaited jobs from the decision module once no FETCH for their queue waits any
     * more. Otherwise a queue that nobody fetches from would block its whole class.
     */
    private void withdrawUnfetched() {
        long before = loop.now() - UNUSED_FETCH_US;
        for (DispatchedJob dispatched : List.copyOf(unawaited)) {
            boolean idle =
                    dispatched.entry.record().state() == JobRecord.State.QUEUED && !dispatched.ran;
            if (idle
                    && dispatched.dispatchedUs < before
                    && !fetchDirectory.isFetchWaiting(dispatched.queue())) {
                unawaited.remove(dispatched);
                driver.gone(dispatched.exchange);
                jobTable.undispatch(dispatched.entry, 0);
            }
        }
    }

    private boolean discardIfExpired(JobEntry entry) {
        long until = entry.record().options().expiresMs();
        if (until == 0 || until > nowMs()) {
            return false;
        }
        counters.add(Count.JOBS_EXPIRED);
        transition(
                entry,
                entry.record()
                        .withState(
                                JobRecord.State.DISCARDED, 0, "its time to run was over", nowMs()));
        return true;
    }

    /**
     * Dispatches a job to the decision module. The deadline of an unawaited job counts from here,
     * and it is attempted once: {@link RetryPolicy} schedules its retries by the protocol's
     * back-off. A job with a deduplication key is retried by the decision module, which alone knows
     * the zone and the window in which that is allowed.
     *
     * @return an immediate rejection, or null
     */
    private String dispatch(JobEntry entry) {
        JobRecord record = entry.record();
        if (driver.holds(record.id())) { // its previous attempt has not ended there yet
            jobTable.undispatch(entry, nowMs() + REDISPATCH_DELAY_MS);
            return null;
        }
        if (!RetryPolicy.mayRun(record, classOf(entry), nowMs())) { // holds whoever enqueued it
            transition(
                    entry,
                    record.withState(
                            JobRecord.State.DEAD,
                            nowMs(),
                            "it may have run and must not run twice",
                            nowMs()));
            return null;
        }
        Idempotency effect = classOf(entry).idempotency();
        int retries = Math.max(0, record.options().retryLimit());
        boolean once =
                effect == Idempotency.NOT_IDEMPOTENT
                        || (effect == Idempotency.IDEMPOTENT && !record.hasWaitingClient());
        int maxAttempts = once ? 1 : retries + 1;
        long deadlineMs =
                record.hasWaitingClient()
                        ? record.options().deadlineMs()
                        : nowMs()
                                + Math.max(
                                        site.deadlineUs(entry.jobClass()) / 1000,
                                        record.options().reservationMs() + RESERVATION_MARGIN_MS);
        String queue = record.options().queue();
        DispatchedJob dispatched = new DispatchedJob(entry, loop.now());
        jobTable.dispatch(entry);
        if (!record.hasWaitingClient()) {
            unawaited.add(dispatched);
        }
        String[] rejection = new String[1];
        dispatched.exchange =
                driver.take(
                        new Request(
                                record.id(),
                                entry.jobClass(),
                                0,
                                deadlineMs * 1000,
                                deadlineMs * 1000,
                                record.options().slots(),
                                0,
                                null,
                                maxAttempts,
                                worker ->
                                        !jobTable.isPaused(queue)
                                                && fetchDirectory.fetches(worker, queue),
                                dispatched),
                        answer -> rejection[0] = finish(dispatched, answer));
        return rejection[0];
    }

    /** Handles the decision module's final answer; returns a rejection, or null. */
    private String finish(DispatchedJob dispatched, Response answer) {
        JobEntry entry = dispatched.entry;
        unawaited.remove(dispatched);
        if (jobTable.get(entry.id()) != entry) {
            return null; // discarded by an operator meanwhile
        }
        Consumer<String> acknowledge =
                dispatched.acknowledge == null ? error -> {} : dispatched.acknowledge;
        dispatched.acknowledge = null;
        if (answer.kind() == Response.Kind.SERVED) {
            transition(
                    entry,
                    entry.record().withState(JobRecord.State.SUCCESS, 0, "", nowMs()),
                    acknowledge);
        } else if (entry.record().hasWaitingClient()) {
            return finishAwaited(dispatched, answer, acknowledge);
        } else if (dispatched.ran) {
            jobTable.undispatch(entry, 0);
            retryOrEnd(
                    entry,
                    dispatched.failure == null ? RunFailure.DEADLINE_PASSED : dispatched.failure,
                    acknowledge);
        } else {
            long backoffUs = Math.max(MIN_BACKOFF_US, answer.retryAfterUs());
            blockedUntilUs[entry.jobClass()] = loop.now() + backoffUs;
            jobTable.undispatch(entry, 0);
            returnUnrun(dispatched);
            loop.in(backoffUs, this::dispatchSoon);
        }
        dispatchSoon();
        return null;
    }

    /** Returns a reserved job to its queue if it provably never left for the worker. */
    void returnUnrun(DispatchedJob dispatched) {
        JobEntry entry = dispatched.entry;
        if (jobTable.get(entry.id()) == entry
                && entry.record().state() == JobRecord.State.RESERVED
                && !dispatched.ran) {
            jobTable.move(entry, entry.record().returned(dispatched.ranBefore, nowMs()));
            store.write(entry.record());
        }
    }

    /** Ends an awaited job that was not served; returns a rejection, or null. */
    private String finishAwaited(
            DispatchedJob dispatched, Response answer, Consumer<String> acknowledge) {
        JobEntry entry = dispatched.entry;
        boolean mayHaveRun = dispatched.ran || dispatched.ranBefore;
        String message =
                describe(answer)
                        + (dispatched.failure == null
                                ? ""
                                : "; "
                                        + dispatched.failure.type()
                                        + ": "
                                        + dispatched.failure.message());
        JobRecord record = entry.record();
        if (mayHaveRun && classOf(entry).idempotency() != Idempotency.IDEMPOTENT) {
            transition(
                    entry,
                    record.withState(
                            JobRecord.State.DEAD, nowMs(), "it may have run; " + message, nowMs()),
                    acknowledge);
            return null;
        }
        boolean rejected = answer.kind() == Response.Kind.THROTTLED;
        JobRecord.State state = rejected ? JobRecord.State.REJECTED : JobRecord.State.FAILED;
        transition(entry, record.withState(state, 0, message, nowMs()), acknowledge);
        return rejected ? "ERR " + message : null;
    }

    private static String describe(Response answer) {
        return switch (answer.kind()) {
            case SERVED -> "";
            case THROTTLED ->
                    answer.retryAfterUs() == 0
                            ? "throttled"
                            : String.format(
                                    Locale.ROOT,
                                    "throttled, retry after %.3f s",
                                    answer.retryAfterUs() / 1e6);
            case FAILED -> answer.late() ? "out of time" : "failed";
        };
    }

    /** Applies the retry policy to an unawaited job whose run has failed. */
    private void retryOrEnd(JobEntry entry, RunFailure how, Consumer<String> acknowledge) {
        counters.add(Count.RUNS_FAILED);
        RetryPolicy.NextState next =
                RetryPolicy.nextState(entry.record(), classOf(entry), how, nowMs(), random);
        JobRecord failed = entry.record().withFailure(next.failure());
        transition(
                entry,
                failed.withState(next.state(), next.dueMs(), next.message(), nowMs()),
                acknowledge);
    }

    // ---- reports on jobs that are not dispatched

    /**
     * Handles a worker's report on a job that it received before a restart, or whose reservation
     * has expired since. The former ends the job; the latter counts only if it shows that a job
     * which waits for a retry has succeeded.
     *
     * @param how how the run failed; null if it succeeded
     * @param acknowledge called once the store has recorded the report, with an error or null
     * @return whether the report was accepted
     */
    boolean reportUndispatched(
            String worker, String jid, RunFailure how, Consumer<String> acknowledge) {
        JobEntry entry = jobTable.get(jid);
        if (entry == null || entry.isDispatched() || !entry.record().worker().equals(worker)) {
            return false;
        }
        JobRecord record = entry.record();
        boolean succeededLate =
                !record.hasWaitingClient()
                        && how == null
                        && (record.state() == JobRecord.State.RETRY
                                || record.state() == JobRecord.State.DEAD);
        if (record.state() != JobRecord.State.RESERVED && !succeededLate) {
            return false;
        }
        if (how == null) {
            counters.add(Count.ANSWERS_SERVED);
            transition(
                    entry, record.withState(JobRecord.State.SUCCESS, 0, "", nowMs()), acknowledge);
        } else {
            endLostRun(entry, how, acknowledge);
        }
        return true;
    }

    /** Ends a run whose job is not dispatched any more. */
    private void endLostRun(JobEntry entry, RunFailure how, Consumer<String> acknowledge) {
        counters.add(Count.ANSWERS_FAILED);
        JobRecord record = entry.record();
        if (!record.hasWaitingClient()) {
            retryOrEnd(entry, how, acknowledge);
        } else if (classOf(entry).idempotency() == Idempotency.IDEMPOTENT) {
            transition(
                    entry,
                    record.withState(JobRecord.State.FAILED, 0, how.message(), nowMs()),
                    acknowledge);
        } else {
            transition(
                    entry,
                    record.withState(
                            JobRecord.State.DEAD,
                            nowMs(),
                            "it may have run before a restart; " + how.message(),
                            nowMs()),
                    acknowledge);
        }
    }

    /**
     * Awaits the report of a worker that had the job before a restart; a worker that does not
     * reconnect has a minute.
     */
    void awaitReport(JobEntry entry) {
        long untilMs = RetryPolicy.reportDeadlineMs(entry.record());
        loop.at(
                Math.min(untilMs, nowMs() + RetryPolicy.ORPHAN_TIMEOUT_MS) * 1000,
                () -> checkReport(entry, untilMs));
    }

    private void checkReport(JobEntry entry, long untilMs) {
        JobRecord.State state = entry.record().state();
        boolean open = state == JobRecord.State.RESERVED || state == JobRecord.State.QUEUED;
        if (jobTable.get(entry.id()) != entry
                || entry.isDispatched()
                || entry.record().hasNeverRun()
                || !open) {
            return;
        }
        if (nowMs() < untilMs && fetchDirectory.isPresent(entry.record().worker())) {
            loop.at(untilMs * 1000, () -> checkReport(entry, untilMs));
        } else {
            endLostRun(entry, RunFailure.RESERVATION_EXPIRED, error -> {});
        }
    }

    // ---- periodic work

    private void sweep() {
        try {
            if (phase.is(State.SERVING) || phase.is(State.LEAVING)) {
                enqueueDue();
                withdrawUnfetched();
                dispatchSoon();
                if (++sweeps % SWEEPS_PER_HOUSEKEEPING == 0) {
                    jobTable.expiredDead(nowMs())
                            .forEach(
                                    entry ->
                                            transition(
                                                    entry,
                                                    entry.record()
                                                            .withState(
                                                                    JobRecord.State.DISCARDED,
                                                                    0,
                                                                    "dead for too long",
                                                                    nowMs())));
                    jobTable.removeExpiredLocks(nowMs());
                }
            }
        } finally {
            loop.in(SWEEP_US, this::sweep);
        }
    }

    /**
     * Enqueues due jobs in batches, so that other tasks run in between. The store is not told: a
     * start treats a scheduled job that is due like a queued one.
     */
    private void enqueueDue() {
        List<JobEntry> due = jobTable.due(nowMs(), DUE_BATCH);
        for (JobEntry entry : due) {
            if (!discardIfExpired(entry)) {
                enqueue(entry);
            }
        }
        if (!due.isEmpty()) {
            dispatchSoon();
        }
        if (due.size() == DUE_BATCH) {
            loop.execute(this::enqueueDue);
        }
    }
}
