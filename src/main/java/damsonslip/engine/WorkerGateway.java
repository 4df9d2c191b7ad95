package damsonslip.engine;

/**
 * The worker side of the scheduler, implemented by a front. It reports results to the {@link
 * SchedulerEngine}: each attempt that was started ends once, unless it was cancelled.
 *
 * <p>Called on the {@link EventLoop}.
 */
public interface WorkerGateway {
    /** Sends the request of an attempt to its worker. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt; nothing more is reported of it. */
    void cancel(Attempt attempt);

    /**
     * Gives up an attempt whose last byte was not written, so that it is never executed; returns
     * false if it was written. Allowed whatever the settings say about {@link #cancel}, since a
     * worker does not execute an incomplete request.
     */
    default boolean withdrawUnsent(Attempt attempt) {
        return false;
    }

    /**
     * Checks a worker's health; the result goes to {@link SchedulerEngine#probeEnded}.
     *
     * @param connectedBeforeUs the check uses a connection that was established by then, or any if
     *     this is {@link Long#MAX_VALUE}
     */
    void probe(String worker, long connectedBeforeUs);

    /** Watches the worker list; it goes to {@link SchedulerEngine#updateWorkers}. */
    void watchWorkerList();

    /** Records that an operator has disabled a worker, so that the front can tell the worker. */
    default void workerDisabled(String worker) {}
}
