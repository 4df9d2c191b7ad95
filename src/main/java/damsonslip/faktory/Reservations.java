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

/**
 * The reservations of jobs by workers. No job is handed out before the store has recorded its
 * reservation: after a restart a job that the store has as queued was never handed out, and one
 * that it has as reserved may have run. Confined to the event loop.
 */
final class Reservations {
    private final EventLoop loop;
    private final SchedulerEngine engine;
    private final AsyncStore store;
    private final Counters counters;
    private final JobLifecycle lifecycle;

    /** By job id. */
    private final Map<String, Reservation> reservations = new HashMap<>();

    /** An attempt that is about to be handed to a worker, or has been. */
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

    static DispatchedJob jobOf(Attempt attempt) {
        return (DispatchedJob) attempt.request().payload();
    }

    /** The number of jobs with workers that a client waits for. */
    long awaitedCount() {
        return reservations.values().stream()
                .filter(reservation -> reservation.job().record().hasWaitingClient())
                .count();
    }

    /**
     * Records a reservation in the store, then hands the job out.
     *
     * @param onUnused called with the FETCH if it gets no job after all
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
        boolean ready = reservation.worker.isRunning() && !fetch.connection().isClosed();
        if (!current || !ready || body == null) {
            returnUnrun(reservation, fetch, onUnused);
            return;
        }
        counters.add(Count.FETCHES_ANSWERED);
        counters.add(Count.EXECUTIONS_WRITTEN);
        reservation.handedOut = true; // from here on the job may have run
        job.ran = true;
        job.failure = null;
        reservation.expiry =
                loop.scheduleAfter(
                        job.record().options().reservationMs() * 1000, () -> expire(reservation));
        String text = JobJson.merge(body, job.record(), job.entry.enqueuedMs());
        fetch.connection().reply(Reply.bulk(text));
        engine.attemptStarted(reservation.attempt);
    }

    /** Ends a reservation and frees its slots; returns false if it had ended before. */
    private boolean release(Reservation reservation) {
        boolean removed = reservations.remove(reservation.job().jid(), reservation);
        reservation.worker.slotsInUse -= removed ? reservation.attempt.request().slots() : 0;
        return removed;
    }

    /**
     * Returns a job that was not handed out, so that the decision module may place it elsewhere;
     * its FETCH waits again.
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

    private void expire(Reservation reservation) {
        reservation.job().failure = RunFailure.RESERVATION_EXPIRED;
        end(reservation, AttemptOutcome.RESET);
    }

    /** Ends the reservations of jobs that a removed worker had received. */
    void endAllOf(Worker worker) {
        for (Reservation reservation : List.copyOf(reservations.values())) {
            if (reservation.worker == worker && reservation.handedOut) {
                reservation.job().failure = RunFailure.WORKER_LOST;
                end(reservation, AttemptOutcome.RESET);
            }
        }
    }

    /** Ends a reservation; without a load report, as the slot is free once its worker fetches. */
    private void end(Reservation reservation, AttemptOutcome outcome) {
        reservation.expiry.cancel();
        if (release(reservation)) {
            engine.attemptEnded(reservation.attempt, new Attempt.Completion(outcome, null, ""));
        }
    }

    /**
     * Extends a reservation at its worker's request; returns false if the worker does not have the
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
     * Handles a worker's report on a job; returns false if the worker does not have the job, or no
     * longer.
     *
     * @param failure how the run failed; null if it succeeded
     * @param callback called once the store has recorded the report, or at once if the decision
     *     module retries the job, so that there is nothing to record yet
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
        boolean theirs =
                reservation != null && reservation.worker == worker && reservation.handedOut;
        return theirs ? reservation : null;
    }

    /**
     * Drops the reservation of a cancelled attempt. Faktory has no way to cancel a job at its
     * worker; the worker's report will be a late one.
     */
    void cancel(Attempt attempt) {
        Reservation reservation = reservations.get(attempt.request().id());
        if (reservation != null && reservation.attempt == attempt) {
            reservation.expiry.cancel();
            release(reservation);
        }
    }
}
