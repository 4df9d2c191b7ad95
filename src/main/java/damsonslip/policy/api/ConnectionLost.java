package damsonslip.policy.api;

/** An idle connection to a worker was closed by the worker or the network. */
public record ConnectionLost(String worker) implements Event {}
