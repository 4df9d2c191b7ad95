package damsonslip.policy.api;

/** What a dispatcher shall do. */
public sealed interface Action
        permits Send, Cancel, Refuse, Fail, Probe, SetTimer, WatchList, Log {}
