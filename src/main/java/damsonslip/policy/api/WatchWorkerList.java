package damsonslip.policy.api;

/** Ask for changes of the list from now on. */
public record WatchWorkerList() implements Action {}
