package damsonslip.policy.api;

/** What happens to a dispatcher. */
public sealed interface Event
        permits ListUpdate,
                DiscoveryAddress,
                JobArrived,
                AttemptStarted,
                AttemptEnded,
                JobGone,
                ProbeEnded,
                ConnectionLost,
                Divided,
                TimerDue {}
