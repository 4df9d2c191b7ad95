package damsonslip.policy.api;

/** An action that the caller of the policy has to carry out. */
public sealed interface Action
        permits Send, Cancel, Reject, Fail, ProbeWorker, SetTimer, WatchWorkerList, Log {}
