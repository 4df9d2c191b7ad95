package damsonslip.engine;

import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;

/**
 * The words for enum constants in the {@link EventLog} and in the trace log. Operators know them,
 * and {@code damsonslip.tools.fleetreport} reads them, so they do not change with the names of the
 * constants.
 */
final class TraceTexts {
    private TraceTexts() {}

    static String of(WorkerListChange change) {
        return switch (change) {
            case CHANGES -> "CHANGES";
            case COMPLETE -> "COMPLETE";
            case CACHED -> "KEPT";
            case OVERRIDES -> "OVERRIDES";
            case FAILED -> "FAILED";
            case UNREACHABLE -> "UNREACHABLE";
            case SILENT -> "SILENT";
            case NOT_CALLED -> "NOT_CALLED";
        };
    }

    static String of(WorkerStatus status) {
        return switch (status) {
            case RUNNING -> "RUNNING";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    static String of(DiscoveryAddressState state) {
        return switch (state) {
            case UNREADABLE -> "address unread";
            case READ -> "address read";
            case MOVED -> "address moved";
            case CONFIRMED -> "address heard";
        };
    }
}
