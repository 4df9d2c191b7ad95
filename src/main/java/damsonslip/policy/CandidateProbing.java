package damsonslip.policy;

import damsonslip.policy.api.LoadReporting;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Where only probes report load, probes some workers for each job before it is sent. By older
 * reports, all schedulers would choose the same workers.
 */
final class CandidateProbing {
    /** Maximum number of workers that are probed for one job. */
    private static final int MAX_CANDIDATES = 4;

    /** Up to this many of these are taken first from this scheduler's zone. */
    private static final int OWN_ZONE_CANDIDATES = 2;

    /** A candidate with a report this recent is not probed again. */
    private static final long FRESH_REPORT_US = 100_000;

    /** Time a job waits for answers: a new connection to another zone takes three round trips. */
    private static final long WAIT_US = 40_000;

    private final DecisionContext context;
    private final ProbeSender sender;
    private final WorkerEligibility eligibility;
    private final OutlierDetector outliers;
    private final SlowStartBudget slowStart;

    CandidateProbing(
            DecisionContext context,
            ProbeSender sender,
            WorkerEligibility eligibility,
            OutlierDetector outliers,
            SlowStartBudget slowStart) {
        this.context = context;
        this.sender = sender;
        this.eligibility = eligibility;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    /** Whether candidates have to be probed before the job is sent. */
    boolean isNeeded(Job job) {
        boolean byProbe = context.settings().loadReporting() == LoadReporting.BY_PROBE;
        return byProbe
                && context.settings().limits().mayProbe()
                && !job.hasAffinity()
                && !job.hasProbedCandidates();
    }

    /**
     * Whether the job waits for answers of its candidates; probes them first if that has not been
     * done.
     */
    boolean awaitsCandidates(Job job) {
        if (isNeeded(job)) {
            probeCandidates(job);
        }
        return context.nowUs() < job.candidatesAwaitedUntilUs()
                && job.probedCandidates().stream()
                        .anyMatch(worker -> worker.lease().isProbeOutstanding());
    }

    private void probeCandidates(Job job) {
        List<Worker> members = new ArrayList<>(job.homePool().members());
        int start = members.isEmpty() ? 0 : context.random().nextInt(members.size());
        Collections.rotate(members, start);
        Set<Worker> candidates = candidates(job, members);
        for (Worker worker : candidates) {
            long reportAgeUs = context.nowUs() - worker.load().reportedUs();
            if (!worker.lease().isProbeOutstanding() && reportAgeUs >= FRESH_REPORT_US) {
                sender.send(worker);
            }
        }
        job.setProbedCandidates(List.copyOf(candidates), context.nowUs() + WAIT_US);
    }

    private Set<Worker> candidates(Job job, List<Worker> members) {
        Predicate<Worker> isCandidate =
                worker ->
                        eligibility.mayTake(worker, job)
                                && !outliers.isSlow(worker)
                                && slowStart.trySpendProbe(worker);
        int ownZone = context.settings().zone();
        Set<Worker> candidates = new LinkedHashSet<>();
        members.stream()
                .filter(worker -> worker.zone() == ownZone && isCandidate.test(worker))
                .limit(OWN_ZONE_CANDIDATES)
                .forEach(candidates::add);
        members.stream()
                .filter(worker -> !candidates.contains(worker) && isCandidate.test(worker))
                .limit(MAX_CANDIDATES - candidates.size())
                .toList()
                .forEach(candidates::add);
        return candidates;
    }
}
