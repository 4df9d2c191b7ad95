package damsonslip.platform;

import damsonslip.admin.management.ManagementServer;
import damsonslip.config.SchedulerConfig;
import damsonslip.transport.ConnectionMemory;

/**
 * Divides the file descriptors of one scheduler between its processes, and those of a process
 * between clients, workers and everything else. A process uses no more of them than its heap has
 * room for connections.
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

    private final int maxConnections;

    DescriptorBudget(SchedulerConfig config) {
        this(
                config.maxFileDescriptors(),
                OTHER_DESCRIPTORS
                        + (config.mgmt().isEmpty() ? 0 : ManagementServer.MAX_FILE_DESCRIPTORS),
                ConnectionMemory.maxConnections());
    }

    /**
     * @param descriptors how many the scheduler's processes may hold together
     * @param reserved how many of a process are for neither clients nor workers
     * @param maxConnections how many connections a process has memory for
     */
    DescriptorBudget(int descriptors, int reserved, int maxConnections) {
        this.descriptors = descriptors;
        this.reserved = reserved;
        this.maxConnections = maxConnections;
    }

    private int usable(int processes) {
        return Math.min(descriptors / processes, maxConnections + reserved);
    }

    /** How many client connections may temporarily exceed {@link #connectionsPerSide}. */
    int clientOverflow(int processes) {
        return usable(processes) / OVERFLOW_DIVISOR;
    }

    /** How many connections clients and workers may each have. */
    int connectionsPerSide(int processes) {
        return (usable(processes) - reserved - clientOverflow(processes)) / 2;
    }
}
