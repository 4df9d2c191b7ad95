package damsonslip.engine;

import damsonslip.config.ConfigurationException;
import java.io.IOException;
import java.util.List;

/**
 * A frontend of the scheduler: speaks one protocol with clients and workers and drives a {@link
 * SchedulerEngine}. The command line starts and stops it; the admin package observes it.
 */
public interface Frontend {
    /**
     * Starts serving. Errors in the configuration are reported before anything is accepted.
     *
     * @throws ConfigurationException if the settings cannot be used
     * @throws IOException if a port or a file cannot be opened
     */
    void start() throws ConfigurationException, IOException;

    /** Starts a graceful shutdown, which ends in {@link LifecyclePhase.State#ENDED}. */
    void shutDown();

    /**
     * Applies those changed settings that can be changed while serving. Invalid settings are logged
     * and change nothing. Called on a separate thread.
     *
     * @param requestedNanoTime when the operator asked for the reload, by {@link System#nanoTime}
     */
    void reload(long requestedNanoTime);

    /**
     * Starts draining clients' connections, until {@link #undrain}; returns false if the frontend
     * does not support it. Called on the loop.
     */
    default boolean drain() {
        return false;
    }

    /** Ends the draining that {@link #drain} started; called on the loop. */
    default void undrain() {}

    /** Releases the remaining resources once the shutdown is complete. */
    default void close() {}

    /** Returns slow peers, ordered by how soon they will be disconnected; called on the loop. */
    default List<SlowPeer> slowPeers() {
        return List.of();
    }

    /** Returns the engine behind this frontend. */
    SchedulerEngine engine();

    /** Returns the configured name of a request class. */
    String jobClassName(int jobClass);
}
