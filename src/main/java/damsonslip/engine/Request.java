package damsonslip.engine;

import java.util.function.Predicate;

/**
 * A client's request in the engine's terms, whatever the protocol that it came by.
 *
 * @param id the client's id of it, unique among the open requests
 * @param jobClass the index of its class
 * @param tenant the index of its tenant; 0 if there are no tenants
 * @param deadlineUs when the client stops waiting, on the {@link EventLoop}'s clock
 * @param earliestDeadlineUs the earliest time at which the client may have stopped waiting, if the
 *     process was delayed and the time of arrival is uncertain; limits the time that a worker is
 *     given
 * @param slots how many slots it takes at a worker
 * @param memory how many units of memory it takes at a worker
 * @param affinityKey what it concerns; null if nothing in particular
 * @param maxRuns how often it may be executed at most, whatever its class allows
 * @param eligibleWorkers which workers, by id, can execute it; null if all can
 * @param payload the front's own form of the content, which the engine does not look into
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
    /** Content in a front's own form. */
    public interface Payload {}
}
