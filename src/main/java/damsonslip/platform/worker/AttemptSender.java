package damsonslip.platform.worker;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.platform.discovery.WorkerRegistry;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.transport.ConnectFailure;
import java.net.InetSocketAddress;

/**
 * Sends attempts to workers, over an idle connection or a new one. An attempt that cannot be
 * written ends with an outcome which proves that it never ran.
 */
final class AttemptSender {
    private final SiteSettings site;
    private final SchedulerEngine engine;
    private final EventLoop loop;
    private final WorkerRegistry registry;
    private final SendPermission permission;
    private final ConnectionPool pool;
    private final WorkerConnector connector;
    private final InFlightAttempts inFlight;
    private final WorkerStatistics statistics;

    AttemptSender(
            SiteSettings site,
            SchedulerEngine engine,
            EventLoop loop,
            WorkerRegistry registry,
            SendPermission permission,
            ConnectionPool pool,
            WorkerConnector connector,
            InFlightAttempts inFlight,
            WorkerStatistics statistics) {
        this.site = site;
        this.engine = engine;
        this.loop = loop;
        this.registry = registry;
        this.permission = permission;
        this.pool = pool;
        this.connector = connector;
        this.inFlight = inFlight;
        this.statistics = statistics;
    }

    /** Sends an attempt, at once or as soon as a connection is established. */
    void send(Attempt attempt) {
        if (!attempt.mayBeWritten(loop.nowUs())) {
            fail(attempt, AttemptOutcome.NEVER_SENT);
            return;
        }
        String worker = attempt.worker();
        InetSocketAddress address = registry.address(worker);
        if (address == null) {
            fail(attempt, AttemptOutcome.NOT_CONNECTED);
            return;
        }
        WorkerConnection idle = pool.takeIdle(worker, idempotency(attempt));
        if (idle != null) {
            sendOver(idle, attempt);
            return;
        }
        if (!connector.reserveDescriptor()) {
            fail(attempt, AttemptOutcome.NEVER_SENT);
            return;
        }
        connector.connect(
                worker,
                address,
                attempt::isOpen,
                connection -> connected(connection, attempt),
                failure -> fail(attempt, outcomeOf(failure)));
    }

    private Idempotency idempotency(Attempt attempt) {
        return site.settings().classes().get(attempt.request().jobClass()).idempotency();
    }

    /** A shortage of sockets on this machine says nothing about the worker. */
    private static AttemptOutcome outcomeOf(ConnectFailure failure) {
        return failure == ConnectFailure.LOCAL
                ? AttemptOutcome.NEVER_SENT
                : AttemptOutcome.NOT_CONNECTED;
    }

    /**
     * Sends the attempt, unless the client has disconnected, or the time for a retry has passed,
     * during the connect.
     */
    private void connected(WorkerConnection connection, Attempt attempt) {
        if (attempt.mayBeWritten(loop.nowUs())) {
            sendOver(connection, attempt);
        } else {
            pool.release(connection);
            fail(attempt, AttemptOutcome.NEVER_SENT);
        }
    }

    private void sendOver(WorkerConnection connection, Attempt attempt) {
        if (!attempt.isAwaited()) { // what was read from the idle connection has closed the request
            pool.release(connection);
            fail(attempt, AttemptOutcome.NEVER_SENT);
            return;
        }
        String worker = attempt.worker();
        if (!permission.maySend(worker)) {
            statistics.sendStoppedByDraining();
            pool.release(connection);
            // A lease that has expired meanwhile says nothing about the worker.
            fail(
                    attempt,
                    permission.mayProbe(worker)
                            ? AttemptOutcome.NEVER_SENT
                            : AttemptOutcome.NOT_CONNECTED);
            return;
        }
        long timeBudgetUs = timeBudgetUs(attempt, loop.nowUs());
        if (!engine.permitsSend(attempt, timeBudgetUs, registry.drainingSinceUs(worker))) {
            pool.release(connection);
            fail(attempt, AttemptOutcome.NEVER_SENT);
            return;
        }
        inFlight.add(attempt, connection);
        boolean idempotent = idempotency(attempt) == Idempotency.IDEMPOTENT;
        connection.sendJob(attempt, timeBudgetUs, idempotent);
    }

    /**
     * The time budget that is sent to a worker: until the scheduler's timeout or the moment at
     * which the client may give up, less the time that the upload is expected to take.
     */
    private static long timeBudgetUs(Attempt attempt, long nowUs) {
        long endsByUs = Math.min(attempt.timeoutAtUs(), attempt.request().earliestDeadlineUs());
        return Math.max(0, endsByUs - nowUs - attempt.expectedUploadUs());
    }

    private void fail(Attempt attempt, AttemptOutcome outcome) {
        engine.attemptEnded(attempt, Attempt.Completion.of(outcome));
    }
}
