package damsonslip.policy.api;

/**
 * Probe a worker: request its load, and whether it takes work.
 *
 * @param connectedBeforeUs the connection has to have come up by this time; {@link Long#MAX_VALUE}
 *     if any will do
 */
public record ProbeWorker(String worker, long connectedBeforeUs) implements Action {}
