package damsonslip.faktory;

import damsonslip.config.ConfigurationException;
import damsonslip.config.SiteSettings;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.routing.Routes;
import damsonslip.transport.datarate.MinimumDataRate;

/**
 * The configuration of the Faktory frontend. Immutable.
 *
 * @param name the scheduler's name, part of its keys in the store
 * @param listen the address for producers and workers
 * @param password the password that peers must prove to know; empty for none
 * @param store the address of the store, {@code redis://host:port}, or {@code memory}
 * @param storePassword the store's password; empty for none
 * @param console the address of the console; empty for none
 * @param mgmt the address of the management interface; empty for none
 * @param maxConnections the maximum number of open connections
 * @param maxLineBytes the maximum length of a line that a peer sends, in bytes
 * @param minReservationS the minimum reservation time in seconds; a job's shorter {@code
 *     reserve_for} is raised to it
 * @param fairQueueOrder whether a FETCH is served from its least recently served queue, instead of
 *     in the order in which it names them
 * @param jobLimits the limits on the numbers of waiting and dead jobs
 * @param minimumDataRate the minimum rates at which peers must send and read
 * @param routes the rules that assign job classes by queue and jobtype
 * @param site the job classes and the settings of the scheduling policy
 */
public record FaktoryConfig(
        String name,
        String listen,
        String password,
        String store,
        String storePassword,
        String console,
        String mgmt,
        int maxConnections,
        int maxLineBytes,
        int minReservationS,
        boolean fairQueueOrder,
        JobTable.Limits jobLimits,
        MinimumDataRate.Limits minimumDataRate,
        Routes routes,
        SiteSettings site) {
    static final String MEMORY_STORE = "memory";

    /** Whether the store's contents outlive the process. */
    public boolean hasPersistentStore() {
        return !store.equals(MEMORY_STORE);
    }

    /**
     * Reads the configuration file.
     *
     * @throws ConfigurationException if it cannot be read or is not valid; the message is one line
     */
    public static FaktoryConfig read(String file) throws ConfigurationException {
        return new FaktoryConfigReader(file).read();
    }
}
