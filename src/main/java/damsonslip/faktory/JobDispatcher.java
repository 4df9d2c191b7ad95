package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.Request;
import damsonslip.engine.Response;
import damsonslip.engine.SchedulerEngine;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.policy.api.Idempotency;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Dispatches queued jobs to the decision module and handles its final answers. A job whose client
 * waits for it (an awaited job) is dispatched at once; any other once a FETCH for its queue waits
 * and the decision module has capacity. Confined to the event loop.
 */
final class JobDispatcher {
    /** Until a job whose previous attempt has not ended in the engine yet is tried again. */
    private static final long REDISPATCH_DELAY_MS = 100;

    /** Pause after a rejection that names no Retry-After, or a shorter one. */
    private static final long MIN_BACKOFF_US = 10_000;

    /** A FETCH unused for this long cannot be used by the jobs that the decision module holds. */
    private static final long UNUSED_FETCH_US = 150_000;

    /** No dispatch while the store has more pending operations: each job needs two more writes. */
    private static final int MAX_STORE_BACKLOG = 5_000;

    /**
     * Time beyond a reservation until the decision module gives a run up, so that the reservation
     * expires first.
     */
    private static final long RESERVATION_MARGIN_MS = 5_000;

    private final EventLoop loop;
    private final SiteSettings site;
    private final SchedulerEngine engine;
    private final AsyncStore store;
    private final LifecyclePhase phase;
    private final JobLifecycle lifecycle;
    private final JobCompletion completion;
    private final JobTable jobTable;
    private final FetchDirectory fetchDirectory;
    private final boolean fairQueueOrder;

    /** By class: no job of it is dispatched before this time. */
    private final long[] blockedUntilUs;

    /** Dispatched jobs that no client waits for. */
    private final Set<DispatchedJob> unawaited = new LinkedHashSet<>();

    private boolean dispatchPending;

    JobDispatcher(
            EventLoop loop,
            SiteSettings site,
            SchedulerEngine engine,
            AsyncStore store,
            LifecyclePhase phase,
            JobLifecycle lifecycle,
            JobCompletion completion,
            FetchDirectory fetchDirectory,
            boolean fairQueueOrder) {
        this.loop = loop;
        this.site = site;
        this.engine = engine;
        this.store = store;
        this.phase = phase;
        this.lifecycle = lifecycle;
        this.completion = completion;
        this.jobTable = lifecycle.jobTable();
        this.fetchDirectory = fetchDirectory;
        this.fairQueueOrder = fairQueueOrder;
        this.blockedUntilUs = new long[site.classNames().size()];
    }

    /** The number of dispatched jobs that a client waits for. */
    int awaitedCount() {
        return engine.openRequestCount() - unawaited.size();
    }

    /**
     * Dispatches waiting jobs in a later task of the loop; called whenever there may be capacity.
     */
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
        boolean storeReady = store.isAvailable() && store.pendingCount() <= MAX_STORE_BACKLOG;
        if (phase.hasReached(LifecyclePhase.State.FINISHING) || !storeReady) {
            return;
        }
        List.copyOf(fetchDirectory.waitingFetches()).forEach(this::dispatchFor);
    }

    private void dispatchFor(FetchDirectory.WaitingFetch fetch) {
        IntPredicate open = jobClass -> mayDispatch(jobClass, fetch.sinceUs());
        JobEntry next = nextJob(fetch, open);
        while (next != null && fetchDirectory.isFetchWaiting(fetch.queues())) {
            if (!lifecycle.discardIfExpired(next)) {
                dispatch(next);
            }
            next = nextJob(fetch, open);
        }
    }

    private JobEntry nextJob(FetchDirectory.WaitingFetch fetch, IntPredicate open) {
        return jobTable.next(fetch.queues(), fairQueueOrder, lifecycle.nowMs(), open);
    }

    /**
     * Whether jobs of this class may be dispatched. Not while the decision module holds others of
     * the class, which may be awaited, unless the FETCH has waited long enough to show that those
     * cannot use it.
     */
    private boolean mayDispatch(int jobClass, long fetchSinceUs) {
        boolean blocked = loop.nowUs() < blockedUntilUs[jobClass];
        boolean noneQueued = engine.poolStates().get(jobClass).queued() == 0;
        return !blocked && (noneQueued || loop.nowUs() - fetchSinceUs > UNUSED_FETCH_US);
    }

    /**
     * Withdraws unawaited jobs from the decision module once no FETCH for their queue waits any
     * more. Otherwise a queue that nobody fetches from would block its whole class.
     */
    void withdrawUnfetched() {
        long before = loop.nowUs() - UNUSED_FETCH_US;
        for (DispatchedJob dispatched : List.copyOf(unawaited)) {
            boolean queued = dispatched.record().state() == JobRecord.State.QUEUED;
            if (queued
                    && !dispatched.ran
                    && dispatched.dispatchedUs < before
                    && !fetchDirectory.isFetchWaiting(dispatched.queue())) {
                unawaited.remove(dispatched);
                engine.clientDisconnected(dispatched.context);
                jobTable.returnToQueue(dispatched.entry, 0);
            }
        }
    }

    /**
     * Dispatches a job to the decision module, if its class still allows a run.
     *
     * @return an immediate rejection, if the job is awaited and rejected
     */
    Optional<CommandError> dispatch(JobEntry entry) {
        JobRecord record = entry.record();
        if (engine.isIdInUse(record.id())) { // its previous attempt has not ended there yet
            jobTable.returnToQueue(entry, lifecycle.nowMs() + REDISPATCH_DELAY_MS);
            return Optional.empty();
        }
        if (!RetryPolicy.mayRun(record, lifecycle.classOf(entry), lifecycle.nowMs())) {
            String detail = "it may have run and must not run twice";
            lifecycle.kill(entry, detail, CommandCallback.IGNORE);
            return Optional.empty();
        }
        DispatchedJob dispatched = new DispatchedJob(entry, loop.nowUs());
        jobTable.dispatch(entry);
        if (!record.hasWaitingClient()) {
            unawaited.add(dispatched);
        }
        dispatched.context =
                engine.submit(request(dispatched), answer -> finish(dispatched, answer));
        return Optional.ofNullable(dispatched.rejection);
    }

    private Request request(DispatchedJob dispatched) {
        JobRecord record = dispatched.record();
        String queue = dispatched.queue();
        long deadlineUs = deadlineMs(dispatched.entry) * 1000;
        return new Request(
                record.id(),
                dispatched.entry.jobClass(),
                0,
                deadlineUs,
                deadlineUs,
                record.options().slots(),
                0,
                null,
                maxAttempts(dispatched.entry),
                worker -> !jobTable.isPaused(queue) && fetchDirectory.fetches(worker, queue),
                dispatched);
    }

    /**
     * An unawaited job is attempted once: {@link RetryPolicy} schedules its retries by the
     * protocol's back-off. A job with a deduplication key is retried by the decision module, which
     * alone knows the zone and the window in which that is allowed.
     */
    private int maxAttempts(JobEntry entry) {
        Idempotency idempotency = lifecycle.classOf(entry).idempotency();
        boolean once =
                idempotency == Idempotency.NOT_IDEMPOTENT
                        || (idempotency == Idempotency.IDEMPOTENT
                                && !entry.record().hasWaitingClient());
        return once ? 1 : Math.max(0, entry.record().options().retryLimit()) + 1;
    }

    /** The deadline of an unawaited job counts from its dispatch. */
    private long deadlineMs(JobEntry entry) {
        JobRecord.Options options = entry.record().options();
        if (entry.record().hasWaitingClient()) {
            return options.deadlineMs();
        }
        long classDeadlineMs = site.maxTimeBudgetUs(entry.jobClass()) / 1000;
        long reservationMs = options.reservationMs() + RESERVATION_MARGIN_MS;
        return lifecycle.nowMs() + Math.max(classDeadlineMs, reservationMs);
    }

    /** Handles the decision module's final answer. */
    private void finish(DispatchedJob dispatched, Response answer) {
        JobEntry entry = dispatched.entry;
        unawaited.remove(dispatched);
        if (!jobTable.contains(entry)) {
            return; // discarded by an operator meanwhile
        }
        CommandCallback callback = dispatched.takeReportCallback();
        if (answer.kind() == Response.Kind.SERVED) {
            lifecycle.succeed(entry, callback);
            dispatchSoon();
        } else if (entry.record().hasWaitingClient()) {
            dispatched.rejection =
                    completion.finishAwaited(dispatched, answer, callback).orElse(null);
        } else {
            finishUnawaited(dispatched, answer, callback);
            dispatchSoon();
        }
    }

    private void finishUnawaited(
            DispatchedJob dispatched, Response answer, CommandCallback callback) {
        JobEntry entry = dispatched.entry;
        jobTable.returnToQueue(entry, 0);
        if (dispatched.ran) {
            RunFailure failure =
                    dispatched.failure == null ? RunFailure.DEADLINE_PASSED : dispatched.failure;
            completion.retryOrEnd(entry, failure, callback);
            return;
        }
        long backoffUs = Math.max(MIN_BACKOFF_US, answer.retryAfterUs());
        blockedUntilUs[entry.jobClass()] = loop.nowUs() + backoffUs;
        lifecycle.returnUnrun(dispatched);
        loop.scheduleAfter(backoffUs, this::dispatchSoon);
    }
}
