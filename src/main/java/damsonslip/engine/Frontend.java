package damsonslip.engine;

import damsonslip.config.ConfigurationException;
import java.io.IOException;
import java.util.List;

/**
 * A front of the scheduler: speaks one protocol with clients and workers and drives a {@link
 * SchedulerEngine}. The command line starts and ends it; the admin package observes it.
 */
public interface Frontend {
    /**
     * Starts to serve. Errors of the configuration are reported before anything is accepted.
     *
     * @throws ConfigurationException if the settings cannot be used
     * @throws IOException if a port or a file cannot be opened
     */
    void start() throws ConfigurationException, IOException;

    /** Starts a graceful shutdown, which is complete in {@link LifecyclePhase.State#ENDED}. */
    void shutDown();

    /**
     * Applies changed settings as far as that is possible while serving. Settings that cannot be
     * used are logged and change nothing. Called on a thread of its own.
     *
     * @param requestedNanoTime when the operator asked for the reload, by {@link System#nanoTime}
     */
    void reload(long requestedNanoTime);

    /**
     * Starts to send clients away until {@link #undrain}; returns false if the front cannot. Called
     * on the loop.
     */
    default boolean drain() {
        return false;
    }

    /** Accepts clients again after {@link #drain}; called on the loop. */
    default void undrain() {}

    /** Releases what is still open once the shutdown is complete. */
    default void close() {}

    /** Returns slow peers, those that are disconnected soonest first; called on the loop. */
    default List<SlowPeer> slowPeers() {
        return List.of();
    }

    /** Returns the engine behind this front. */
    SchedulerEngine engine();

    /** Returns the name of a request class as users know it. */
    String jobClassName(int jobClass);
}
