package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.DiscoveryWatch.Loss;
import damsonslip.policy.api.DiscoveryAddressChanged;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;

/** Translates the events of this package's API into calls of the {@link DiscoveryWatch}. */
final class DiscoveryEvents {
    private DiscoveryEvents() {}

    /** Creates the watch of the scheduler with these settings; it has not started yet. */
    static DiscoveryWatch newWatch(Settings settings) {
        return new DiscoveryWatch(
                settings.schedulers(),
                settings.schedulerIndex(),
                settings.guarantees().maxPollIntervalUs(),
                settings.guarantees().drainGraceUs());
    }

    /** Reports a list, or a change of one, to the watch. */
    static void listReceived(WorkerListUpdate update, DiscoveryWatch watch) {
        if (update.change().isFromDiscovery()) {
            watch.received();
        } else if (update.change() == WorkerListChange.KEPT
                && update.lastReceivedUs() != Long.MAX_VALUE) {
            watch.launched(update.lastReceivedUs());
        }
    }

    /** Reports a change of discovery's address to the watch. */
    static void addressChanged(DiscoveryAddressChanged change, DiscoveryWatch watch) {
        switch (change.state()) {
            case UNREAD -> watch.configurationUnread(change.reloadRequestedUs());
            case READ -> watch.configurationRead();
            case MOVED -> watch.moved(change.reloadRequestedUs());
            case HEARD -> watch.heardWhereItMoved();
        }
    }

    /** How the call or the watch ended that an update with this mode reports. */
    static Loss loss(WorkerListChange mode) {
        return switch (mode) {
            case FAILED -> Loss.FAILED;
            case UNREACHABLE -> Loss.UNREACHABLE;
            case SILENT -> Loss.SILENT;
            case NOT_CALLED -> Loss.NOT_CALLED;
            case CHANGES, COMPLETE, KEPT, OVERRIDES ->
                    throw new IllegalArgumentException("not the end of a call: " + mode);
        };
    }
}
