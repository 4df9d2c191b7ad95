package damsonslip.policy.api;

/** What a dispatcher shall do. */
public sealed interface Action
        permits Send, Cancel, Reject, Fail, ProbeWorker, SetTimer, WatchWorkerList, Log {}
