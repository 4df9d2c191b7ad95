package damsonslip.platform.codec;

import damsonslip.policy.api.WorkerListChange;
import java.util.List;

/**
 * Discovery's list of workers, or the changes to it.
 *
 * @param generation discovery's version of the list
 * @param complete whether a worker that is not in the list has been removed
 * @param endpoints the workers, or those that have changed
 */
public record EndpointList(long generation, boolean complete, List<Endpoint> endpoints) {
    /** The list of a scheduler that has not received any. */
    public static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    /** Copies the endpoints. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /** The same entries, as a complete list. */
    public EndpointList asComplete() {
        return new EndpointList(generation, true, endpoints);
    }

    /** How the scheduling policy has to apply it. */
    public WorkerListChange change() {
        return complete ? WorkerListChange.COMPLETE : WorkerListChange.CHANGES;
    }
}
