package damsonslip.engine;

/**
 * The worker side of the scheduler, implemented by a frontend. It reports results to the {@link
 * SchedulerEngine}: the end of each attempt exactly once, unless the attempt was cancelled.
 *
 * <p>Called on the {@link EventLoop}.
 */
public interface WorkerGateway {
    /** Sends the request of an attempt to its worker. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt; nothing more is reported about it. */
    void cancel(Attempt attempt);

    /**
     * Abandons an attempt whose last byte has not been written, so that it is never executed;
     * returns false if it has been written. Allowed even if the settings forbid {@link #cancel},
     * since a worker does not execute an incomplete request.
     */
    default boolean withdrawUnsent(Attempt attempt) {
        return false;
    }

    /**
     * Checks a worker's health; the result goes to {@link SchedulerEngine#probeEnded}.
     *
     * @param connectedBeforeUs the check uses a connection established by this time; {@link
     *     Long#MAX_VALUE} allows any connection
     */
    void probe(String worker, long connectedBeforeUs);

    /** Watches the worker list; updates go to {@link SchedulerEngine#updateWorkers}. */
    void watchWorkerList();

    /** Called when an operator has disabled a worker, so that the worker can be notified. */
    default void workerDisabled(String worker) {}
}
