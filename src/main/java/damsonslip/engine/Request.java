package damsonslip.engine;

import java.util.function.Predicate;

/**
 * A client's request, independent of the protocol by which it arrived.
 *
 * @param id the id that the client gave it, unique among the open requests
 * @param jobClass the index of its class
 * @param tenant the index of its tenant; 0 if there are no tenants
 * @param deadlineUs when the client stops waiting, on the {@link EventLoop}'s clock
 * @param earliestDeadlineUs the earliest time at which the client may have stopped waiting, if the
 *     process was delayed and the time of arrival is uncertain; limits the time that a worker is
 *     given
 * @param slots how many slots it occupies at a worker
 * @param memory how many units of memory it occupies at a worker
 * @param affinityKey the program or data set that it uses; null if none
 * @param maxRuns how many of its attempts may have run at most, even if its class allows more
 * @param eligibleWorkers tells by id which workers can run it; null if all can
 * @param payload the content in the frontend's representation, opaque to the engine
 */
public record Request(
        String id,
        int jobClass,
        int tenant,
        long deadlineUs,
        long earliestDeadlineUs,
        int slots,
        double memory,
        Long affinityKey,
        int maxRuns,
        Predicate<String> eligibleWorkers,
        Payload payload) {
    /** Content in the representation of a frontend. */
    public interface Payload {
        /**
         * Releases the memory. Called once the request has its final response or its client has
         * disconnected, since no attempt is started any more; attempts may still be open.
         */
        default void release() {}
    }
}
