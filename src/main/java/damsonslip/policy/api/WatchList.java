package damsonslip.policy.api;

/** Ask for changes of the list from now on. */
public record WatchList() implements Action {}
