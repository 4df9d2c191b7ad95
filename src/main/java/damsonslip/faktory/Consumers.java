package damsonslip.faktory;

import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.WorkerGateway;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Reply;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.ProbeResult;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The worker side of the Faktory frontend: matches the attempts that the scheduling policy places
 * on a worker with the worker's FETCH commands. A FETCH offers a slot, and the scheduling policy
 * selects the job for it. Confined to the event loop.
 */
final class Consumers implements WorkerGateway {
    /** A FETCH that gets no job is replied to after this time, as Faktory's protocol requires. */
    private static final long FETCH_TIMEOUT_US = 2_000_000;

    /**
     * How long an attempt waits for its worker's next FETCH, for a worker that is between two
     * fetches.
     */
    private static final long SLOT_TIMEOUT_US = 100_000;

    private final EventLoop loop;
    private final SchedulerEngine engine;
    private final WorkerRegistry registry;
    private final Reservations reservations;
    private final JobDispatcher dispatcher;

    /** The FETCH commands that cannot get a job, since their workers are draining. */
    private final Set<PendingFetch> unserved = new HashSet<>();

    private boolean isStopped;

    Consumers(
            EventLoop loop,
            SchedulerEngine engine,
            WorkerRegistry registry,
            Reservations reservations,
            JobDispatcher dispatcher) {
        this.loop = loop;
        this.engine = engine;
        this.registry = registry;
        this.reservations = reservations;
        this.dispatcher = dispatcher;
    }

    /**
     * Handles a FETCH from these queues. The reply is sent once the FETCH gets a job or times out.
     */
    void fetch(FaktoryConnection connection, List<String> queues) {
        Worker worker = connection.worker();
        if (worker == null) {
            String message = "only a worker, with a wid in its HELLO, may fetch";
            connection.reply(Reply.error(CommandError.error(message)));
            return;
        }
        if (isStopped) {
            connection.reply(Reply.nullBulk());
            return;
        }
        PendingFetch fetch = new PendingFetch(connection, queues, loop.nowUs());
        if (!worker.isRunning()) {
            addPending(fetch, unserved);
            return;
        }
        worker.recordFetch(queues, registry.maxQueuesOfWorker(), loop.nowUs());
        addPending(fetch, worker.pendingFetches);
        if (!reservePlacedAttempt(worker)) {
            engine.probeEnded(worker.wid, ProbeResult.HEALTHY, worker.loadReportWithCapacity());
            dispatcher.dispatchSoon();
        }
    }

    private void addPending(PendingFetch fetch, Collection<PendingFetch> pending) {
        fetch.setTimeout(loop.scheduleAfter(FETCH_TIMEOUT_US, () -> timeOut(fetch, pending)));
        pending.add(fetch);
    }

    private static void timeOut(PendingFetch fetch, Collection<PendingFetch> pending) {
        if (pending.remove(fetch)) {
            fetch.replyWithoutJob();
        }
    }

    /** Replies to every FETCH without a job, to those that wait and to later ones. */
    void stopFetches() {
        isStopped = true;
        registry.all().forEach(WorkerRegistry::endPendingFetches);
        unserved.forEach(PendingFetch::replyWithoutJob);
        unserved.clear();
    }

    /**
     * Reserves the first placed attempt that a pending FETCH accepts; returns whether there was
     * one.
     */
    private boolean reservePlacedAttempt(Worker worker) {
        for (Attempt attempt : worker.placedAttempts) {
            PendingFetch fetch = worker.takePendingFetch(Reservations.jobOf(attempt).queue());
            if (fetch != null) {
                worker.placedAttempts.remove(attempt);
                reserve(attempt, worker, fetch);
                return true;
            }
        }
        return false;
    }

    private void reserve(Attempt attempt, Worker worker, PendingFetch fetch) {
        reservations.reserve(
                attempt, worker, fetch, unused -> fetch(unused.connection(), unused.queues()));
    }

    @Override
    public void send(Attempt attempt) {
        Worker worker = registry.get(attempt.worker());
        if (worker == null || !worker.isRunning()) {
            returnUnrun(attempt);
            return;
        }
        PendingFetch fetch = worker.takePendingFetch(Reservations.jobOf(attempt).queue());
        if (fetch != null) {
            reserve(attempt, worker, fetch);
            return;
        }
        worker.placedAttempts.add(attempt);
        loop.scheduleAfter(SLOT_TIMEOUT_US, () -> returnIfStillPlaced(worker, attempt));
    }

    private void returnIfStillPlaced(Worker worker, Attempt attempt) {
        if (worker.placedAttempts.remove(attempt)) {
            returnUnrun(attempt);
        }
    }

    private void returnUnrun(Attempt attempt) {
        engine.attemptEnded(attempt, Attempt.Completion.of(AttemptOutcome.FULL));
    }

    /** Removes a cancelled attempt; see {@link Reservations#cancel}. */
    @Override
    public void cancel(Attempt attempt) {
        Worker worker = registry.get(attempt.worker());
        if (worker != null) {
            worker.placedAttempts.remove(attempt);
        }
        reservations.cancel(attempt);
    }

    @Override
    public void workerDisabled(String wid) {
        registry.drain(wid);
    }

    /**
     * Reports the worker as unreachable: Faktory's protocol has no health checks. A FETCH is
     * reported as a successful one instead.
     */
    @Override
    public void probe(String wid, long connectedBeforeUs) {
        loop.execute(() -> engine.probeEnded(wid, ProbeResult.UNREACHABLE, null));
    }

    /** Does nothing: workers register themselves, so there is no endpoint list to watch. */
    @Override
    public void watchWorkerList() {}
}
