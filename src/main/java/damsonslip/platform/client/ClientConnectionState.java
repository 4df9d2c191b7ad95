package damsonslip.platform.client;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The states of a client's connection, by its current request. */
enum ClientConnectionState {
    /** Awaits a request; a part of one may have arrived. */
    RECEIVING,
    /** A request for a job is complete, and is submitted once all bytes after it are read. */
    RECEIVED,
    /** The engine decides whether to admit the request; it may respond within the call. */
    ADMITTING,
    /** The engine processes the request. */
    PROCESSING,
    /** A response is being written. */
    RESPONDING;

    private static final Map<ClientConnectionState, Set<ClientConnectionState>> TRANSITIONS =
            new EnumMap<>(
                    Map.of(
                            RECEIVING, EnumSet.of(RECEIVED, RESPONDING),
                            RECEIVED, EnumSet.of(ADMITTING, RESPONDING),
                            ADMITTING, EnumSet.of(PROCESSING, RESPONDING),
                            PROCESSING, EnumSet.of(RESPONDING),
                            RESPONDING, EnumSet.of(RECEIVING)));

    /**
     * Moves to another state.
     *
     * @return the other state
     * @throws IllegalStateException if that cannot follow this one
     */
    ClientConnectionState next(ClientConnectionState next) {
        if (!TRANSITIONS.get(this).contains(next)) {
            throw new IllegalStateException(this + " to " + next);
        }
        return next;
    }
}
