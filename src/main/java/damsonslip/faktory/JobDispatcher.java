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
 * Dispatches queued jobs to the scheduling policy and handles its final responses. A job whose
 * client waits for the result (an awaited job) is dispatched at once; any other job once a FETCH
 * for its queue is waiting and the scheduling policy has capacity. Confined to the event loop.
 */
final class JobDispatcher {
    /**
     * Delay before the next dispatch of a job whose previous attempt has not ended in the engine
     * yet.
     */
    private static final long REDISPATCH_DELAY_MS = 100;

    /** The minimum backoff after a rejection, if its Retry-After is shorter or missing. */
    private static final long MIN_BACKOFF_US = 10_000;

    /**
     * A FETCH that has waited for this long cannot be used by the jobs that the scheduling policy
     * has queued.
     */
    private static final long UNUSED_FETCH_US = 150_000;

    /**
     * Dispatching pauses while the store has more pending operations than this, since each
     * dispatched job needs two more writes.
     */
    private static final int MAX_STORE_BACKLOG = 5_000;

    /**
     * How much the scheduling policy's deadline for a run exceeds the reservation, so that the
     * reservation expires first.
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

    /** Indexed by job class: the time before which no job of the class is dispatched. */
    private final long[] blockedUntilUs;

    /** The dispatched jobs that no client waits for. */
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

    /** Returns the number of dispatched jobs that a client waits for. */
    int awaitedCount() {
        return engine.openRequestCount() - unawaited.size();
    }

    /**
     * Dispatches waiting jobs in a later task of the event loop; called whenever capacity may have
     * become available.
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
        IntPredicate dispatchable = jobClass -> mayDispatch(jobClass, fetch.sinceUs());
        JobEntry next = nextJob(fetch, dispatchable);
        while (next != null && fetchDirectory.isFetchWaiting(fetch.queues())) {
            if (!lifecycle.discardIfExpired(next)) {
                dispatch(next);
            }
            next = nextJob(fetch, dispatchable);
        }
    }

    private JobEntry nextJob(FetchDirectory.WaitingFetch fetch, IntPredicate dispatchable) {
        return jobTable.next(fetch.queues(), fairQueueOrder, lifecycle.nowMs(), dispatchable);
    }

    /**
     * Whether jobs of this class may be dispatched. They are not while the scheduling policy has
     * other jobs of the class queued, which may be awaited, unless the FETCH has waited long enough
     * to show that those jobs cannot use it.
     */
    private boolean mayDispatch(int jobClass, long fetchSinceUs) {
        boolean blocked = loop.nowUs() < blockedUntilUs[jobClass];
        boolean noneQueued = engine.poolStates().get(jobClass).queued() == 0;
        return !blocked && (noneQueued || loop.nowUs() - fetchSinceUs > UNUSED_FETCH_US);
    }

    /**
     * Withdraws jobs that no client waits for from the scheduling policy once no FETCH for their
     * queue is waiting. Otherwise a queue that no worker fetches from would block its whole class.
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
     * Dispatches a job to the scheduling policy if its class still allows a run; moves it to the
     * dead set otherwise.
     *
     * @return the error if the job is awaited and rejected immediately
     */
    Optional<CommandError> dispatch(JobEntry entry) {
        JobRecord record = entry.record();
        if (engine.isIdInUse(record.id())) { // its previous attempt has not ended in the engine yet
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
                engine.submit(request(dispatched), response -> finish(dispatched, response));
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
     * Returns the maximum number of attempts. A non-idempotent job is attempted once. An idempotent
     * job that no client waits for is attempted once per dispatch: {@link RetryPolicy} schedules
     * its retries with the protocol's backoff. A job with an idempotency key is retried by the
     * scheduling policy, which alone knows the zone and the time window in which that is allowed.
     */
    private int maxAttempts(JobEntry entry) {
        Idempotency idempotency = lifecycle.classOf(entry).idempotency();
        boolean singleAttempt =
                idempotency == Idempotency.NOT_IDEMPOTENT
                        || (idempotency == Idempotency.IDEMPOTENT
                                && !entry.record().hasWaitingClient());
        return singleAttempt ? 1 : Math.max(0, entry.record().options().retryLimit()) + 1;
    }

    /** Returns the deadline; that of a job that no client waits for counts from its dispatch. */
    private long deadlineMs(JobEntry entry) {
        JobRecord.Options options = entry.record().options();
        if (entry.record().hasWaitingClient()) {
            return options.deadlineMs();
        }
        long classDeadlineMs = site.maxTimeBudgetUs(entry.jobClass()) / 1000;
        long reservationMs = options.reservationMs() + RESERVATION_MARGIN_MS;
        return lifecycle.nowMs() + Math.max(classDeadlineMs, reservationMs);
    }

    /** Withdraws a job that has ended from the scheduling policy. */
    void withdraw(DispatchedJob dispatched) {
        unawaited.remove(dispatched);
        engine.clientDisconnected(dispatched.context);
        dispatchSoon();
    }

    /** Handles the final response of the scheduling policy. */
    private void finish(DispatchedJob dispatched, Response response) {
        JobEntry entry = dispatched.entry;
        unawaited.remove(dispatched);
        if (!jobTable.contains(entry)) {
            return; // discarded by an operator in the meantime
        }
        CommandCallback callback = dispatched.takeReportCallback();
        if (response.kind() == Response.Kind.SERVED) {
            lifecycle.succeed(entry, callback);
            dispatchSoon();
        } else if (entry.record().hasWaitingClient()) {
            dispatched.rejection =
                    completion.finishAwaited(dispatched, response, callback).orElse(null);
        } else {
            finishUnawaited(dispatched, response, callback);
            dispatchSoon();
        }
    }

    private void finishUnawaited(
            DispatchedJob dispatched, Response response, CommandCallback callback) {
        JobEntry entry = dispatched.entry;
        jobTable.returnToQueue(entry, 0);
        if (dispatched.ran) {
            RunFailure failure =
                    dispatched.failure == null ? RunFailure.DEADLINE_PASSED : dispatched.failure;
            completion.retryOrEnd(entry, failure, callback);
            return;
        }
        long backoffUs = Math.max(MIN_BACKOFF_US, response.retryAfterUs());
        blockedUntilUs[entry.jobClass()] = loop.nowUs() + backoffUs;
        lifecycle.returnUnrun(dispatched);
        loop.scheduleAfter(backoffUs, this::dispatchSoon);
    }
}
