package damsonslip.platform;

import damsonslip.admin.management.ManagementServer;
import damsonslip.config.SchedulerConfig;

/**
 * Divides the file descriptors of one scheduler between its processes, and those of a process
 * between clients, workers and everything else.
 */
final class DescriptorBudget {
    /** For files, the selector and discovery. */
    private static final int OTHER_DESCRIPTORS = 24;

    /**
     * One in this many descriptors is for connections that are accepted before others are closed
     * for them.
     */
    private static final int OVERFLOW_DIVISOR = 8;

    private final int descriptors;
    private final int reserved;

    DescriptorBudget(SchedulerConfig config) {
        this.descriptors = config.maxFileDescriptors();
        this.reserved =
                OTHER_DESCRIPTORS
                        + (config.mgmt().isEmpty() ? 0 : ManagementServer.MAX_FILE_DESCRIPTORS);
    }

    /** How many client connections may temporarily exceed {@link #connectionsPerSide}. */
    int clientOverflow(int processes) {
        return descriptors / processes / OVERFLOW_DIVISOR;
    }

    /** How many connections clients and workers may each have. */
    int connectionsPerSide(int processes) {
        return (descriptors / processes - reserved - clientOverflow(processes)) / 2;
    }
}
