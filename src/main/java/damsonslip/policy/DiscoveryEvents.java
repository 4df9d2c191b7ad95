package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.DiscoveryWatch.Loss;
import damsonslip.policy.api.DiscoveryAddress;
import damsonslip.policy.api.ListMode;
import damsonslip.policy.api.ListUpdate;
import damsonslip.policy.api.Settings;

/** Translates the events of this package's API into calls of the {@link DiscoveryWatch}. */
final class DiscoveryEvents {
    private DiscoveryEvents() {}

    /** Creates the watch of the scheduler with these settings; it has not started yet. */
    static DiscoveryWatch newWatch(Settings settings) {
        return new DiscoveryWatch(
                settings.dispatchers(),
                settings.number(),
                settings.guarantees().askEveryUs(),
                settings.guarantees().drainGraceUs());
    }

    /** Reports a list, or a change of one, to the watch. */
    static void listReceived(ListUpdate update, DiscoveryWatch watch) {
        if (update.mode().isNews()) {
            watch.received();
        } else if (update.mode() == ListMode.KEPT && update.heardUs() != Long.MAX_VALUE) {
            watch.launched(update.heardUs());
        }
    }

    /** Reports a change of discovery's address to the watch. */
    static void addressChanged(DiscoveryAddress change, DiscoveryWatch watch) {
        switch (change.news()) {
            case UNREAD -> watch.configurationUnread(change.sinceUs());
            case READ -> watch.configurationRead();
            case MOVED -> watch.moved(change.sinceUs());
            case HEARD -> watch.heardWhereItMoved();
        }
    }

    /** How the call or the watch ended that an update with this mode reports. */
    static Loss loss(ListMode mode) {
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
