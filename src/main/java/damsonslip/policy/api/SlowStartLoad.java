package damsonslip.policy.api;

/**
 * Load of a worker that warms up, in requests of the mean run time. Its text form is written to the
 * log when the limit is violated.
 *
 * @param requests number that this scheduler has sent to the worker in the current window
 * @param capacity number from all schedulers in this window beyond which the worker is overloaded
 */
public record SlowStartLoad(double requests, double capacity) {}
