package damsonslip.faktory;

import damsonslip.config.ConfigurationException;
import damsonslip.config.SiteSettings;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.routing.Routes;
import damsonslip.transport.datarate.MinimumDataRate;

/**
 * The configuration of the Faktory front. Immutable.
 *
 * @param name the scheduler's name, part of its keys in the store
 * @param listen the address for producers and workers
 * @param password the password that they have to prove; empty for none
 * @param store {@code redis://host:port}, or {@code memory}
 * @param storePassword the store's password; empty for none
 * @param console the address of the console; empty for none
 * @param mgmt the address of the management interface; empty for none
 * @param maxConnections most connections at once
 * @param maxLineBytes the length of the longest line that a peer may send, in bytes
 * @param minReservationS a shorter {@code reserve_for} of a job is raised to this, in seconds
 * @param fairQueueOrder whether a FETCH is served from the queue served longest ago, rather than in
 *     its own order
 * @param jobLimits the limits on waiting and dead jobs
 * @param minimumDataRate how fast peers have to send and read at least
 * @param routes the classes of jobs by queue and jobtype
 * @param site the job classes and the settings of the decision module
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

    /** Whether the store outlives the process. */
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
