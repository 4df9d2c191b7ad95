package damsonslip.platform.worker;

import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.invariants.CloseGuard;
import java.util.HashMap;
import java.util.Map;

/** The attempts in flight, each with the connection that carries it. */
final class InFlightAttempts {
    private final SchedulerEngine engine;
    private final EventLoop loop;
    private final Map<Attempt, WorkerConnection> connections = new HashMap<>();

    InFlightAttempts(SchedulerEngine engine, EventLoop loop) {
        this.engine = engine;
        this.loop = loop;
    }

    /** Registers an attempt that is about to be written to a connection. */
    void add(Attempt attempt, WorkerConnection connection) {
        connections.put(attempt, connection);
    }

    /** Reports to the engine that the worker has started the job. */
    void started(Attempt attempt) {
        engine.attemptStarted(attempt);
    }

    /** Reports the end of an attempt to the engine. */
    void ended(Attempt attempt, Attempt.Completion end) {
        connections.remove(attempt);
        engine.attemptEnded(attempt, end);
    }

    /** Closes the connection of an attempt whose result is no longer needed. */
    void cancel(Attempt attempt) {
        WorkerConnection connection = connections.remove(attempt);
        if (connection != null) {
            connection.abort();
        }
    }

    /**
     * Cancels an attempt unless its last byte has been written.
     *
     * @return whether it was cancelled, and so provably never runs
     */
    boolean withdraw(Attempt attempt) {
        WorkerConnection connection = connections.get(attempt);
        if (connection == null || connection.isRequestWritten()) {
            return false;
        }
        cancel(attempt);
        return true;
    }

    /**
     * Checks that the attempt of a closed connection ends within this iteration of the event loop.
     */
    void checkEndsAfterClose(Attempt attempt) {
        loop.execute(
                () ->
                        engine.invariantMonitor()
                                .permits(
                                        CloseGuard.checkWorkerConnection(
                                                attempt.request().id(),
                                                attempt.worker(),
                                                attempt.isOpen())));
    }
}
