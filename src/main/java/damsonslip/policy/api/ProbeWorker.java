package damsonslip.policy.api;

/**
 * Ask a worker for its load, and whether it takes work; over a connection that came up by that
 * time, or over any if that is {@link Long#MAX_VALUE}.
 */
public record ProbeWorker(String worker, long connectedBeforeUs) implements Action {}
