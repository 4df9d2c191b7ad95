package damsonslip.engine;

import damsonslip.config.ConfigurationException;
import java.io.IOException;
import java.util.List;

/** What speaks to clients and workers: one of these is put round the core. */
public interface Frontend {
    /**
     * Begins to serve; what is wrong with its configuration is told before anything is taken in.
     */
    void start() throws ConfigurationException, IOException;

    /**
     * Begins to leave in good order; {@link LifecyclePhase.State#ENDED} tells when that is done.
     */
    void leave();

    /**
     * The operator has replaced the settings; called on a thread of its own. What can change while
     * serving does; settings that cannot be used are told of and change nothing.
     *
     * @param signalNs when the operator asked for it, by {@link System#nanoTime}
     */
    void reload(long signalNs);

    /**
     * Sends clients away until {@link #undrain}; tells false where the front cannot. Called on the
     * loop.
     */
    default boolean drain() {
        return false;
    }

    /** Takes clients again; called on the loop. */
    default void undrain() {}

    /** Gives up what is held open, once everything has ended. */
    default void close() {}

    /** Peers that are slow just now, the next to be let go first; called on the loop. */
    default List<SlowPeer> slowPeers() {
        return List.of();
    }

    /** What the program looks like at this moment, for whoever watches it. */
    SchedulerEngine driver();

    /** The name of a class, as its users know it. */
    String className(int jobClass);
}
