package damsonslip.policy;

import damsonslip.policy.FleetState.Job;
import damsonslip.policy.FleetState.Worker;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which workers are probed. Where nothing else reports their load: some for each job that comes,
 * and all in slow rounds. While no list of discovery holds: one by one, for a lease ({@link
 * damsonslip.membership.WorkerLease}).
 *
 * <p>Decides from what {@link Worker} holds; times are those of the events. Not safe for use by
 * several threads.
 */
final class ProbeScheduler {
    /** Work that a new connection or a probe is taken to cost a cold worker. */
    static final double COST_US = 3_000;

    /** Probes for load may cost this many points of service for each job. */
    private static final double POINTS = 0.003;

    /** Each worker is probed for its load this often at the most. */
    private static final long EVERY_US = 400_000;

    /** Own jobs a second, at the least, by which probes of the rounds are counted. */
    private static final double LEAST_RATE = 2;

    /**
     * Workers probed for one job: more would know little more, as the reports of all are up to a
     * second old.
     */
    private static final int CANDIDATES = 4;

    /** So many of them are of the own zone, if there are such. */
    private static final int NEAR_CANDIDATES = 2;

    /** A report this recent needs no probe. */
    private static final long FRESH_US = 100_000;

    /**
     * Answers are waited for so long: a new connection to another zone takes some three round
     * trips.
     */
    static final long LOOK_US = 40_000;

    private static final double MOST_PER_JOB = 2;
    private static final double MOST_AT_ONCE = 20;
    private static final double SECOND = 1e6;

    private List<Worker> round = List.of();
    private int next;
    private double allowance;

    /** These are the workers to probe in turn. */
    void cover(List<Worker> running) {
        round = running;
    }

    /** The workers that are probed in turn. */
    List<Worker> round() {
        return round;
    }

    /**
     * Probes the next workers of the round.
     *
     * @param rate own jobs a second
     * @param sinceUs time since the last call
     * @param bears whether a worker bears the work of a probe
     */
    void probeNext(
            double rate,
            long sinceUs,
            Limits limits,
            Predicate<Worker> bears,
            long nowUs,
            List<Action> to) {
        double perJob = Math.min(MOST_PER_JOB, POINTS / Math.max(1e-6, limits.probePrice()));
        double perSecond =
                Math.min(round.size() * SECOND / EVERY_US, Math.max(rate, LEAST_RATE) * perJob);
        allowance = Math.min(allowance + perSecond * sinceUs / SECOND, MOST_AT_ONCE);
        for (int i = 0; i < round.size() && allowance >= 1; i++) {
            Worker w = round.get(next++ % round.size());
            if (w.running && bears.test(w)) {
                allowance--;
                send(w, Long.MAX_VALUE, nowUs, to);
            }
        }
    }

    /**
     * Probes some workers that a job could go to, whose answers it waits for; tells whether there
     * are any. A report of long ago tells where many have gone since: all dispatchers go for the
     * same workers by it.
     *
     * @param ring the workers to choose from, from where the job begins to look
     * @param mayTake whether a worker could take the job and bears a probe
     */
    boolean look(
            Job job,
            List<Worker> ring,
            int zone,
            Predicate<Worker> mayTake,
            long nowUs,
            List<Action> to) {
        Set<Worker> found = new LinkedHashSet<>();
        ring.stream()
                .filter(w -> w.zone == zone && mayTake.test(w))
                .limit(NEAR_CANDIDATES)
                .forEach(found::add);
        ring.stream()
                .filter(w -> !found.contains(w) && mayTake.test(w))
                .limit(CANDIDATES - found.size())
                .toList()
                .forEach(found::add);
        for (Worker w : found) {
            if (!w.lease.isAwaited() && !(nowUs - w.reportedAt < FRESH_US)) {
                send(w, Long.MAX_VALUE, nowUs, to);
            }
        }
        job.candidates = List.copyOf(found);
        job.looksUntil = nowUs + LOOK_US;
        return isLooking(job, nowUs);
    }

    /** Whether a job waits for answers of the workers that were probed for it. */
    boolean isLooking(Job job, long nowUs) {
        return nowUs < job.looksUntil && job.candidates.stream().anyMatch(w -> w.lease.isAwaited());
    }

    /**
     * Probes a worker for a lease on behalf of this job, which has not asked another one meanwhile.
     *
     * @param heardUs when discovery was last heard; a connection to a worker of the own zone has to
     *     have stood since
     */
    void probeFor(Job job, Worker w, int ownZone, long heardUs, long nowUs, List<Action> to) {
        job.probed = w;
        send(w, w.zone == ownZone ? heardUs : Long.MAX_VALUE, nowUs, to);
    }

    /** Whether the job has asked for a lease that may come yet. */
    boolean awaitsLease(Job job) {
        return job.probed != null && job.probed.lease.isAwaited();
    }

    private void send(Worker w, long connectedByUs, long nowUs, List<Action> to) {
        w.lease.probeSent(nowUs);
        to.add(new ProbeWorker(w.id, connectedByUs));
    }

    /**
     * A probe of the worker has ended. A worker that is well and was removed from the list
     * meanwhile comes back with its zone: one of another zone was not lost together with this
     * dispatcher, and answers for itself over any connection.
     */
    void ended(Worker w, ProbeEnded probe, int ownZone, long graceUs, long nowUs) {
        ProbeResult result =
                probe.result().isHealthy() && w.zone != ownZone
                        ? ProbeResult.HEALTHY_THROUGHOUT
                        : probe.result();
        w.lease.probeEnded(result, graceUs, nowUs);
    }
}
