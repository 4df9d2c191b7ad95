package damsonslip.policy.api;

/** What happens to a dispatcher. */
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
