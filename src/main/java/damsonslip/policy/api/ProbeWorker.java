package damsonslip.policy.api;

/**
 * Probe a worker: ask whether it accepts jobs, and for its load.
 *
 * @param connectedBeforeUs the connection must have been opened by this time; {@link
 *     Long#MAX_VALUE} if any connection may be used
 */
public record ProbeWorker(String worker, long connectedBeforeUs) implements Action {}
