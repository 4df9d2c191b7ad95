package damsonslip.engine;

/**
 * The server side: a port that a front implements. What comes of it is told to the {@link
 * SchedulerEngine}, from the {@link EventLoop}; each execution that is started ends once, unless it
 * was cancelled.
 */
public interface WorkerGateway {
    /** Sends the execution's query to its worker. */
    void start(Attempt execution);

    /** Stops waiting for an execution; nothing is told of it any more. */
    void cancel(Attempt execution);

    /**
     * Gives up an execution whose last byte has not left, so that it provably never runs; tells
     * whether that was so. Unlike {@link #cancel} it needs no leave from the settings: what has not
     * come whole is no attempt yet.
     */
    default boolean withdraw(Attempt execution) {
        return false;
    }

    /**
     * Asks a worker how it is; ends in {@link SchedulerEngine#probed}.
     *
     * @param connectedByUs over a connection that came up by then, or over any if this is {@link
     *     Long#MAX_VALUE}
     */
    void probe(String worker, long connectedByUs);

    /** Asks for the list of workers and its changes; ends in {@link SchedulerEngine#listed}. */
    void watch();

    /** An operator keeps new jobs from a worker; a front that can tells the worker so. */
    default void drain(String worker) {}
}
