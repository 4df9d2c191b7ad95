package damsonslip.policy.api;

/** Call discovery for the worker list, and watch the list from then on. */
public record WatchWorkerList() implements Action {}
