package damsonslip.faktory;

import damsonslip.engine.Attempt;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.faktory.codec.JobJson;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Workers' reservations of jobs. No job is handed out before the store has recorded its
 * reservation. After a restart, therefore, a job stored as queued has not been handed out since it
 * was queued, and one stored as reserved may have run. Confined to the event loop.
 */
final class Reservations {
    private static final Logger LOG = LoggerFactory.getLogger(Reservations.class);

    private static final String CONTENT_LOST_DETAIL = "the store has lost its content";

    private final EventLoop loop;
    private final SchedulerEngine engine;
    private final AsyncStore store;
    private final Counters counters;
    private final JobLifecycle lifecycle;

    private Consumer<DispatchedJob> onJobLost = job -> {};

    /** The open reservations, by job id. */
    private final Map<String, Reservation> reservations = new HashMap<>();

    /** An attempt whose job is being handed out to a worker, or has been. */
    private static final class Reservation {
        final Attempt attempt;
        final Worker worker;
        boolean handedOut;
        EventLoop.Timer expiry = () -> {};

        Reservation(Attempt attempt, Worker worker) {
            this.attempt = attempt;
            this.worker = worker;
        }

        DispatchedJob job() {
            return jobOf(attempt);
        }
    }

    Reservations(
            EventLoop loop,
            SchedulerEngine engine,
            AsyncStore store,
            Counters counters,
            JobLifecycle lifecycle) {
        this.loop = loop;
        this.engine = engine;
        this.store = store;
        this.counters = counters;
        this.lifecycle = lifecycle;
    }

    /** Sets the listener that receives jobs that have ended since the store has lost them. */
    void onJobLost(Consumer<DispatchedJob> listener) {
        onJobLost = listener;
    }

    static DispatchedJob jobOf(Attempt attempt) {
        return (DispatchedJob) attempt.request().payload();
    }

    /** Returns the number of reserved jobs that a client waits for. */
    long awaitedCount() {
        return reservations.values().stream()
                .filter(reservation -> reservation.job().record().hasWaitingClient())
                .count();
    }

    /**
     * Records a reservation in the store, then hands out the job.
     *
     * @param onUnused called with the FETCH if the job is not handed out after all
     */
    void reserve(
            Attempt attempt, Worker worker, PendingFetch fetch, Consumer<PendingFetch> onUnused) {
        DispatchedJob job = jobOf(attempt);
        Reservation reservation = new Reservation(attempt, worker);
        reservations.put(job.jid(), reservation);
        worker.slotsInUse += attempt.request().slots();
        JobRecord reserved = job.record().reserved(worker.wid, lifecycle.nowMs());
        lifecycle.jobTable().move(job.entry, reserved);
        store.submit(
                new StoreOperation.Reserve(job.record()),
                body -> handOut(reservation, fetch, body, onUnused),
                () -> returnUnrun(reservation, fetch, onUnused));
    }

    private void handOut(
            Reservation reservation,
            PendingFetch fetch,
            String body,
            Consumer<PendingFetch> onUnused) {
        DispatchedJob job = reservation.job();
        boolean current =
                reservation.attempt.isOpen() && reservations.get(job.jid()) == reservation;
        if (current && body == null) {
            endLost(reservation, fetch, onUnused);
            return;
        }
        boolean ready = reservation.worker.isRunning() && !fetch.connection().isClosed();
        if (!current || !ready) {
            returnUnrun(reservation, fetch, onUnused);
            return;
        }
        counters.add(Count.FETCHES_ANSWERED);
        counters.add(Count.EXECUTIONS_WRITTEN);
        reservation.handedOut = true; // from now on the job may have run
        job.ran = true;
        job.failure = null;
        reservation.expiry =
                loop.scheduleAfter(
                        job.record().options().reservationMs() * 1000, () -> expire(reservation));
        String text = JobJson.merge(body, job.record(), job.entry.enqueuedMs());
        fetch.connection().reply(Reply.bulk(text));
        engine.attemptStarted(reservation.attempt);
    }

    /** Removes a reservation and frees its slots; returns false if it was removed before. */
    private boolean release(Reservation reservation) {
        boolean removed = reservations.remove(reservation.job().jid(), reservation);
        reservation.worker.slotsInUse -= removed ? reservation.attempt.request().slots() : 0;
        return removed;
    }

    /**
     * Returns a job that was not handed out, so that the scheduling policy can place it on another
     * worker; the FETCH waits again.
     */
    private void returnUnrun(
            Reservation reservation, PendingFetch fetch, Consumer<PendingFetch> onUnused) {
        if (release(reservation) && reservation.attempt.isOpen()) {
            lifecycle.returnUnrun(reservation.job());
        }
        if (!fetch.connection().isClosed()) {
            onUnused.accept(fetch);
        }
        engine.attemptEnded(reservation.attempt, Attempt.Completion.of(AttemptOutcome.FULL));
    }

    /**
     * Ends a job whose body the store has lost, since it cannot be run any more; it would hold up
     * the jobs behind it. If it has never run, it may be pushed again.
     */
    private void endLost(
            Reservation reservation, PendingFetch fetch, Consumer<PendingFetch> onUnused) {
        DispatchedJob job = reservation.job();
        counters.add(Count.JOBS_LOST);
        LOG.warn("event=job_lost jid={} the store has lost its content", job.jid());
        release(reservation);
        JobRecord.State last = job.ranBefore ? JobRecord.State.DISCARDED : JobRecord.State.REJECTED;
        JobRecord ended = job.record().withState(last, 0, CONTENT_LOST_DETAIL, lifecycle.nowMs());
        lifecycle.transition(job.entry, ended, CommandCallback.IGNORE);
        onJobLost.accept(job);
        engine.attemptEnded(reservation.attempt, Attempt.Completion.of(AttemptOutcome.NEVER_SENT));
        if (!fetch.connection().isClosed()) {
            onUnused.accept(fetch);
        }
    }

    private void expire(Reservation reservation) {
        reservation.job().failure = RunFailure.RESERVATION_EXPIRED;
        end(reservation, AttemptOutcome.RESET);
    }

    /** Ends the reservations of the jobs that were handed out to a removed worker. */
    void endAllOf(Worker worker) {
        for (Reservation reservation : List.copyOf(reservations.values())) {
            if (reservation.worker == worker && reservation.handedOut) {
                reservation.job().failure = RunFailure.WORKER_LOST;
                end(reservation, AttemptOutcome.RESET);
            }
        }
    }

    /**
     * Ends a reservation and its attempt. There is no load report, since the slot is free only once
     * the worker fetches again.
     */
    private void end(Reservation reservation, AttemptOutcome outcome) {
        reservation.expiry.cancel();
        if (release(reservation)) {
            engine.attemptEnded(reservation.attempt, new Attempt.Completion(outcome, null, ""));
        }
    }

    /**
     * Extends a reservation at its worker's request; returns false if the worker does not hold the
     * job.
     */
    boolean extend(Worker worker, String jid, long untilMs) {
        Reservation reservation = handedOutTo(worker, jid);
        if (reservation == null) {
            return false;
        }
        reservation.expiry.cancel();
        reservation.expiry = loop.scheduleAt(untilMs * 1000, () -> expire(reservation));
        return true;
    }

    /**
     * Handles a worker's report on a job; returns false if the worker does not hold the job, or no
     * longer does.
     *
     * @param failure how the run failed; null if it succeeded
     * @param callback called once the store has recorded the report, or immediately if the
     *     scheduling policy retries the job and there is nothing to record yet
     */
    boolean report(Worker worker, String jid, RunFailure failure, CommandCallback callback) {
        Reservation reservation = handedOutTo(worker, jid);
        if (reservation == null) {
            return false;
        }
        DispatchedJob job = reservation.job();
        job.reported(failure, callback);
        end(reservation, failure == null ? AttemptOutcome.SERVED : AttemptOutcome.ERROR);
        job.takeReportCallback().succeeded();
        return true;
    }

    private Reservation handedOutTo(Worker worker, String jid) {
        Reservation reservation = reservations.get(jid);
        boolean heldByWorker =
                reservation != null && reservation.worker == worker && reservation.handedOut;
        return heldByWorker ? reservation : null;
    }

    /**
     * Drops the reservation of a cancelled attempt. Faktory's protocol has no means to cancel a job
     * at its worker, so the worker's report is handled as a late one.
     */
    void cancel(Attempt attempt) {
        Reservation reservation = reservations.get(attempt.request().id());
        if (reservation != null && reservation.attempt == attempt) {
            reservation.expiry.cancel();
            release(reservation);
        }
    }
}
