package damsonslip.policy.api;

/** The client has gone; nothing more is owed. */
public record ClientDisconnected(String job) implements Event {}
