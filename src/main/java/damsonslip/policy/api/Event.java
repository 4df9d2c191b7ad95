package damsonslip.policy.api;

/** An event that the policy has to handle. */
public sealed interface Event
        permits WorkerListUpdate,
                DiscoveryAddressChanged,
                JobArrived,
                AttemptStarted,
                AttemptEnded,
                ClientDisconnected,
                ProbeEnded,
                ConnectionLost,
                SchedulersChanged,
                TimerDue {}
