package damsonslip.policy.api;

/**
 * What a cold worker was sent from here in its window, and what it bears there from all
 * dispatchers; both in requests of mean work.
 */
public record SlowStartLoad(double requests, double capacity) {}
