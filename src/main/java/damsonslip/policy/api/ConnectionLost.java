package damsonslip.policy.api;

/**
 * The other side, or the network, has ended a connection to a worker on which nothing was under
 * way.
 */
public record ConnectionLost(String worker) implements Event {}
