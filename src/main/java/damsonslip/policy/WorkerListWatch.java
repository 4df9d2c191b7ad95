package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.DiscoveryWatch.Failure;
import damsonslip.policy.api.DiscoveryAddressChanged;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;

/**
 * Watches the worker list: passes the events that concern discovery to {@link DiscoveryWatch}, and
 * sets timers for the calls that it schedules.
 */
final class WorkerListWatch {
    private final DecisionContext context;
    private final DiscoveryWatch discovery;

    WorkerListWatch(DecisionContext context) {
        this.context = context;
        this.discovery =
                new DiscoveryWatch(
                        context.settings().schedulers(),
                        context.settings().schedulerIndex(),
                        context.settings().guarantees().maxPollIntervalUs(),
                        context.settings().guarantees().drainGraceUs());
    }

    /** The state of the watch, for other classes to read. */
    DiscoveryWatch discovery() {
        return discovery;
    }

    /** Schedules the first call, if the worker list is polled. */
    void start() {
        if (context.settings().pollsWorkerList()) {
            long callUs = discovery.start(context.nowUs(), context.random().nextDouble());
            context.setTimerAt(callUs, TimerLabels.LIST);
        }
    }

    /** Calls discovery for the worker list. */
    void call() {
        discovery.pollSent(context.nowUs());
        context.emit(new WatchWorkerList());
    }

    /** Handles an update that reports the end of a call or a watch. */
    void ended(WorkerListUpdate update) {
        WorkerListChange end = update.change();
        long nowUs = context.nowUs();
        if (end == WorkerListChange.NOT_CALLED && !context.settings().pollsWorkerList()) {
            // where lists are pushed, a change counts as known although this machine could not call
            // to read it
            discovery.updateUnreadable(nowUs);
            return;
        }
        long lastReceivedUs = Math.min(nowUs, update.lastReceivedUs());
        double random = context.random().nextDouble();
        long nextCallUs = discovery.failed(failureOf(end), lastReceivedUs, nowUs, random);
        context.setTimerAt(nextCallUs, TimerLabels.LIST);
    }

    /** Handles a list or changes to it. */
    void received(WorkerListUpdate update) {
        if (update.change().isFromDiscovery()) {
            discovery.updateReceived();
        } else if (update.change() == WorkerListChange.CACHED
                && update.lastReceivedUs() != Long.MAX_VALUE) {
            discovery.processLaunched(update.lastReceivedUs());
        }
    }

    /** Handles a change of discovery's configured address, or that it cannot be read. */
    void addressChanged(DiscoveryAddressChanged change) {
        switch (change.state()) {
            case UNREADABLE -> discovery.configurationUnreadable(change.reloadRequestedUs());
            case READ -> discovery.configurationRead();
            case MOVED -> discovery.addressChanged(change.reloadRequestedUs());
            case CONFIRMED -> discovery.newAddressConfirmed();
        }
    }

    /** Handles a change of the number of schedulers that share discovery. */
    void schedulersChanged(SchedulersChanged change) {
        discovery.setFleet(change.schedulers(), change.schedulerIndex());
    }

    private static Failure failureOf(WorkerListChange end) {
        return switch (end) {
            case FAILED -> Failure.FAILED;
            case UNREACHABLE -> Failure.UNREACHABLE;
            case SILENT -> Failure.SILENT;
            case NOT_CALLED -> Failure.NOT_SENT;
            case CHANGES, COMPLETE, CACHED, OVERRIDES ->
                    throw new IllegalArgumentException("not the end of a call: " + end);
        };
    }
}
