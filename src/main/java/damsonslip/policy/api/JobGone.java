package damsonslip.policy.api;

/** The client has gone; nothing more is owed. */
public record JobGone(String job) implements Event {}
