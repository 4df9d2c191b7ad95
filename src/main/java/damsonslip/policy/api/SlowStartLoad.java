package damsonslip.policy.api;

/**
 * Load of a worker that warms up, in requests of mean work.
 *
 * @param requests sent there by this scheduler in the window at hand
 * @param capacity what the worker bears in it from all schedulers
 */
public record SlowStartLoad(double requests, double capacity) {}
