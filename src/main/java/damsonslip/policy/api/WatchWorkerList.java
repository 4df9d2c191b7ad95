package damsonslip.policy.api;

/** Call discovery for the worker list, and watch it from then on. */
public record WatchWorkerList() implements Action {}
