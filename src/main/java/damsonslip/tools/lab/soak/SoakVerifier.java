package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.Ledger.Attempt;
import damsonslip.tools.lab.soak.Ledger.Effect;
import damsonslip.tools.lab.soak.Ledger.End;
import damsonslip.tools.lab.soak.Ledger.Finding;
import damsonslip.tools.lab.soak.Ledger.Request;
import damsonslip.tools.lab.soak.Membership.Change;
import damsonslip.tools.lab.soak.Membership.Lifecycle;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks what clients and workers recorded against the rules of the protocol (PROTOCOL, STANDING).
 */
final class SoakVerifier {
    /**
     * Tolerance for time limits measured on sockets (PROTOCOL); it also covers delays of the soak's
     * own threads.
     */
    private static final long SLACK_US = 100 * Clock.MILLISECOND;

    private static final long DISCONNECT_US = 100 * Clock.MILLISECOND;
    private static final long TIME_LEFT_SLACK_US = 150 * Clock.MILLISECOND;

    /**
     * A change that no watch has delivered counts as known to the scheduler after this time
     * (STANDING).
     */
    private static final long MAX_NOTIFY_US = 6 * Clock.SECOND;

    private static final String VIOLATION = "event=invariant_violated";

    private final SoakPlan plan;
    private final Ledger ledger;
    private final Membership membership;
    private final List<SchedulerProcess> schedulers;
    private final List<SoakWorker> workers;
    private final StallMonitor stallMonitor;
    private final List<Finding> findings = new ArrayList<>();

    SoakVerifier(
            SoakPlan plan,
            Ledger ledger,
            Membership membership,
            List<SchedulerProcess> schedulers,
            List<SoakWorker> workers,
            StallMonitor stallMonitor) {
        this.plan = plan;
        this.ledger = ledger;
        this.membership = membership;
        this.schedulers = schedulers;
        this.workers = workers;
        this.stallMonitor = stallMonitor;
    }

    /**
     * @param cpuUs processor time of the schedulers under the load
     */
    Verdict verdict(long cpuUs) throws IOException {
        findings.addAll(ledger.findings());
        int sent = 0;
        int served = 0;
        int closedKept = 0;
        for (Request request : ledger.requests()) {
            sent += request.end != null && request.end != End.NOT_SENT ? 1 : 0;
            served += request.status == 200 ? 1 : 0;
            closedKept += request.end == End.CLOSED_KEPT && !overlapsKill(request) ? 1 : 0;
            checkAnswer(request);
            request.attempts.forEach(attempt -> checkAttempt(request, attempt));
            checkDuplicates(request);
        }
        workers.forEach(this::checkWarmUp);
        return new Verdict(
                sent,
                served,
                closedKept,
                countViolations(),
                stallMonitor.longestUs(0, Long.MAX_VALUE),
                cpuUs / Math.max(1, sent),
                findings);
    }

    private long countViolations() throws IOException {
        long violations = 0;
        for (SchedulerProcess scheduler : schedulers) {
            for (String line : scheduler.output().lines().toList()) {
                if (line.contains(VIOLATION)) {
                    violations++;
                    findings.add(new Finding("guard", "-", line));
                } else if (line.contains(" ERROR ") || line.contains("OutOfMemory")) {
                    findings.add(new Finding("error", "-", line));
                }
            }
        }
        return violations;
    }

    private boolean overlapsKill(Request request) {
        return schedulers.get(request.scheduler).kills().stream()
                .anyMatch(
                        kill ->
                                kill.toUs() >= request.beganUs
                                        && kill.fromUs() <= request.endedUs + SLACK_US);
    }

    private void checkAnswer(Request request) {
        boolean lost = request.end == End.CLOSED_NEW || request.end == End.UNANSWERED;
        if (lost && !overlapsKill(request)) {
            report(
                    "lost",
                    request,
                    request.end
                            + " after "
                            + (request.endedUs - request.sentUs) / Clock.MILLISECOND
                            + " of "
                            + request.timeLeftUs / Clock.MILLISECOND
                            + " ms",
                    request.beganUs,
                    request.endedUs);
        }
        if (request.end == End.CLOSED_KEPT
                && !request.attempts.isEmpty()
                && !overlapsKill(request)) {
            report(
                    "lost",
                    request,
                    "closed on a kept connection though it was sent on",
                    request.beganUs,
                    request.endedUs);
        }
        if (request.status == 200 && !("r-" + request.id).equals(request.result)) {
            report(
                    "lost",
                    request,
                    "served with what no worker made: " + request.result,
                    request.beganUs,
                    request.endedUs);
        }
        if (request.status == 400 || request.status == 408 || request.status == 409) {
            report(
                    "refused as bad",
                    request,
                    "status " + request.status,
                    request.beganUs,
                    request.endedUs);
        }
        long run = request.attempts.stream().filter(attempt -> !attempt.provenNotRun).count();
        if (request.status == 503
                && request.effect != Effect.REPEATABLE
                && run > 0
                && !overlapsKill(request)) {
            report(
                    "refused after a run",
                    request,
                    run + " may have run",
                    request.beganUs,
                    request.endedUs);
        }
    }

    private void checkAttempt(Request request, Attempt attempt) {
        if (attempt.beganUs > request.disconnectedUs + DISCONNECT_US + SLACK_US / 2) {
            report(
                    "departed",
                    request,
                    "attempt at "
                            + attempt.worker
                            + " "
                            + (attempt.beganUs - request.disconnectedUs) / Clock.MILLISECOND
                            + " ms after the client left",
                    request.disconnectedUs,
                    attempt.beganUs);
        }
        long remainingUs = request.timeLeftUs - (attempt.beganUs - request.beganUs);
        if (attempt.statedTimeLeftUs > remainingUs + TIME_LEFT_SLACK_US) {
            report(
                    "told",
                    request,
                    attempt.worker
                            + " was told "
                            + (attempt.statedTimeLeftUs - remainingUs) / Clock.MILLISECOND
                            + " ms too much",
                    request.beganUs,
                    attempt.beganUs);
        }
        checkDrain(request, attempt);
    }

    private void checkDrain(Request request, Attempt attempt) {
        SchedulerProcess scheduler = schedulers.get(request.scheduler);
        Change last = null;
        long notifiedUs = Long.MAX_VALUE;
        for (Change change : membership.after(0)) {
            if (!change.entry().id().equals(attempt.worker) || change.atUs() > attempt.beganUs) {
                continue;
            }
            Long written = scheduler.sentUs().get(change.generation());
            long latest = Math.max(change.atUs(), scheduler.readyUs()) + MAX_NOTIFY_US;
            last = change;
            notifiedUs = Math.min(written == null ? Long.MAX_VALUE : written, latest);
        }
        if (last == null || last.entry().lifecycle() == Lifecycle.READY) {
            return;
        }
        long lateUs = attempt.beganUs - notifiedUs - plan.drainGraceUs();
        if (lateUs > SLACK_US / 2) {
            report(
                    "drain",
                    request,
                    attempt.worker
                            + " "
                            + last.entry().lifecycle()
                            + " "
                            + lateUs / Clock.MILLISECOND
                            + " ms past the grace",
                    notifiedUs,
                    attempt.beganUs);
        }
    }

    private void checkDuplicates(Request request) {
        if (request.effect == Effect.REPEATABLE) {
            return;
        }
        List<Attempt> run =
                request.attempts.stream()
                        .filter(attempt -> !attempt.provenNotRun)
                        .sorted(Comparator.comparingLong(attempt -> attempt.receivedUs))
                        .toList();
        for (int i = 1; i < run.size(); i++) {
            Attempt first = run.get(0);
            Attempt again = run.get(i);
            boolean inWindow =
                    again.receivedUs <= first.receivedUs + SoakPlan.KEYED_WINDOW_US + SLACK_US;
            if (request.effect == Effect.ONCE || !inWindow || !again.zone.equals(first.zone)) {
                report(
                        "duplicate",
                        request,
                        request.effect
                                + " at "
                                + first.worker
                                + " and, "
                                + (again.receivedUs - first.receivedUs) / Clock.MILLISECOND
                                + " ms later, at "
                                + again.worker,
                        first.receivedUs,
                        again.receivedUs);
            }
        }
    }

    /**
     * In no window of the ramp's length may a worker that is warming up receive more requests than
     * its budget plus the random variation (STANDING).
     */
    private void checkWarmUp(SoakWorker worker) {
        if (worker.startedUs() == 0) {
            return;
        }
        List<Long> arrivals = new ArrayList<>();
        for (Request request : ledger.requests()) {
            for (Attempt attempt : request.attempts) {
                if (attempt.worker.equals(worker.id())
                        && attempt.incarnation == worker.incarnation()) {
                    arrivals.add(attempt.receivedUs);
                }
            }
        }
        arrivals.sort(null);
        for (int first = 0, last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last) - arrivals.get(first) > SoakPlan.RAMP_WINDOW_US) {
                first++;
            }
            double age = arrivals.get(last) - worker.startedUs();
            double rampFactor =
                    Math.min(
                            1,
                            SoakPlan.INITIAL_SHARE
                                    + (1 - SoakPlan.INITIAL_SHARE) * age / SoakPlan.WARM_UP_US);
            double budget =
                    SoakPlan.RAMP_MULTIPLE
                            * rampFactor
                            * SoakWorker.SLOTS
                            * SoakPlan.RAMP_WINDOW_US
                            / SoakWorker.MEAN_JOB_US;
            if (rampFactor < 1 && last - first + 1 > budget + 2 * Math.sqrt(budget) + 2) {
                findings.add(
                        new Finding(
                                "cold",
                                worker.id(),
                                (last - first + 1)
                                        + " requests of "
                                        + (int) budget
                                        + " at age "
                                        + (long) age / Clock.MILLISECOND
                                        + " ms"));
                return;
            }
        }
    }

    private void report(String rule, Request request, String detail, long fromUs, long toUs) {
        long stallUs = stallMonitor.longestUs(fromUs - SLACK_US, toUs + SLACK_US);
        findings.add(
                new Finding(
                        rule,
                        request.id,
                        "n"
                                + request.scheduler
                                + " "
                                + detail
                                + (stallUs > 0
                                        ? " (the soak itself was held up for "
                                                + stallUs / Clock.MILLISECOND
                                                + " ms)"
                                        : "")));
    }
}
