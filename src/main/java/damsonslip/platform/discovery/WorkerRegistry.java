package damsonslip.platform.discovery;

import damsonslip.platform.codec.Endpoint;
import damsonslip.platform.codec.EndpointList;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers of the endpoint list: the address of each of them, and since when it has been
 * draining or removed. Used on the event loop only; times are in microseconds on its clock.
 */
public final class WorkerRegistry {
    /** The draining time of a worker that is running, or unknown. */
    public static final long NOT_DRAINING = Long.MAX_VALUE;

    /**
     * Sends stop this long before the drain grace period ends: a request's bytes take time to be
     * sent.
     */
    private static final long SEND_MARGIN_US = 150_000;

    /** How long the address of a removed worker is kept: until all requests on it have ended. */
    private static final long RETENTION_US = 600_000_000;

    private record Registration(InetSocketAddress address, long drainingSinceUs) {
        boolean isDraining() {
            return drainingSinceUs != NOT_DRAINING;
        }
    }

    private final long drainGraceUs;
    private final Map<String, Registration> registrations = new HashMap<>();
    private long generation;

    /**
     * Creates an empty registry.
     *
     * @param drainGraceUs how long a worker may still be sent requests after it was reported as
     *     draining
     */
    public WorkerRegistry(long drainGraceUs) {
        this.drainGraceUs = drainGraceUs;
    }

    /**
     * Applies a list or the changes to it.
     *
     * @param receivedUs when it was received
     * @return the workers in it, for the scheduling policy
     */
    public List<WorkerEntry> apply(EndpointList list, long receivedUs) {
        List<WorkerEntry> workers = new ArrayList<>(list.endpoints().size());
        Set<String> listed = new HashSet<>();
        for (Endpoint endpoint : list.endpoints()) {
            register(endpoint, receivedUs);
            workers.add(endpoint.worker());
            listed.add(endpoint.worker().id());
        }
        if (list.complete()) {
            drainUnlisted(listed, receivedUs);
        }
        // Nothing is sent to an unknown worker, so one that drains for that long may be removed as
        // well.
        registrations
                .values()
                .removeIf(worker -> worker.drainingSinceUs() < receivedUs - RETENTION_US);
        generation = list.generation();
        return workers;
    }

    private void register(Endpoint endpoint, long receivedUs) {
        String id = endpoint.worker().id();
        long drainingSinceUs = drainingSinceUs(id);
        if (endpoint.worker().status() == WorkerStatus.RUNNING) {
            drainingSinceUs = NOT_DRAINING;
        } else if (drainingSinceUs == NOT_DRAINING) {
            drainingSinceUs = receivedUs;
        }
        registrations.put(id, new Registration(endpoint.address(), drainingSinceUs));
    }

    private void drainUnlisted(Set<String> listed, long receivedUs) {
        registrations.replaceAll(
                (id, worker) ->
                        listed.contains(id) || worker.isDraining()
                                ? worker
                                : new Registration(worker.address(), receivedUs));
    }

    /** The generation of the last list. */
    public long generation() {
        return generation;
    }

    /** The address of a worker; null if it is unknown. */
    public InetSocketAddress address(String worker) {
        Registration registration = registrations.get(worker);
        return registration == null ? null : registration.address();
    }

    /** When a worker was reported as draining or removed, or {@link #NOT_DRAINING}. */
    public long drainingSinceUs(String worker) {
        Registration registration = registrations.get(worker);
        return registration == null ? NOT_DRAINING : registration.drainingSinceUs();
    }

    /**
     * Whether a request may still be sent to a worker. Checked at the time of the send, since the
     * worker may have begun to drain after it was selected.
     */
    public boolean maySend(String worker, long nowUs) {
        Registration registration = registrations.get(worker);
        if (registration == null) {
            return false;
        }
        return !registration.isDraining()
                || nowUs < registration.drainingSinceUs() + drainGraceUs - SEND_MARGIN_US;
    }
}
