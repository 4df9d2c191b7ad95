package damsonslip.policy.api;

/** The client has disconnected, so its job needs no answer. */
public record ClientDisconnected(String job) implements Event {}
