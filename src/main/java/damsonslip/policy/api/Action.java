package damsonslip.policy.api;

/** An action that the policy asks its caller to carry out. */
public sealed interface Action
        permits Send, Cancel, Reject, Fail, ProbeWorker, SetTimer, WatchWorkerList, Log {}
