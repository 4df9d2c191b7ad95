package damsonslip.engine;

import java.util.function.Predicate;

/**
 * What a client asks for, in the core's words.
 *
 * @param id the client's id of it, which no other open query has
 * @param jobClass the index of its class
 * @param tenant the index of who it is for; 0 where there are no tenants
 * @param deadlineUs when the client gives up, on the {@link EventLoop}'s clock
 * @param earliestDeadlineUs when the client may have given up already, where the process was held
 *     up and it is not known when the query came; no worker is told of more time than until then
 * @param slots the slots that it takes at a worker
 * @param memory the units of memory that it takes
 * @param subject what it concerns, or null
 * @param mostRuns how often it may run at the most, whatever its class allows
 * @param fits which workers can take it at all, by id; or null if each can
 * @param cargo what the front passes on to a worker; the core does not look into it
 */
public record Request(
        String id,
        int jobClass,
        int tenant,
        long deadlineUs,
        long earliestDeadlineUs,
        int slots,
        double memory,
        Long subject,
        int mostRuns,
        Predicate<String> fits,
        Cargo cargo) {
    /** A front's own form of a query's content. */
    public interface Cargo {}
}
