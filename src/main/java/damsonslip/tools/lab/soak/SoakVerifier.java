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

/** Holds what was seen from outside against the rules of the protocol page and of STANDING. */
final class SoakVerifier {
    /**
     * Every time limit on sockets is this much longer (PROTOCOL), and as much is left for the
     * soak's own threads.
     */
    private static final long SLACK_US = 100 * Clock.MILLISECOND;

    private static final long DEPARTURE_US = 100 * Clock.MILLISECOND;
    private static final long TOLD_SLACK_US = 150 * Clock.MILLISECOND;

    /** A list that no watch brings counts as told so long after the change (STANDING). */
    private static final long TOLD_AT_THE_LATEST_US = 6 * Clock.SECOND;

    private static final String VIOLATION = "event=invariant_violated";

    private final SoakPlan plan;
    private final Ledger ledger;
    private final Membership membership;
    private final List<SchedulerProcess> schedulers;
    private final List<SoakWorker> workers;
    private final StallMonitor holdUps;
    private final List<Finding> findings = new ArrayList<>();

    SoakVerifier(
            SoakPlan plan,
            Ledger ledger,
            Membership membership,
            List<SchedulerProcess> schedulers,
            List<SoakWorker> workers,
            StallMonitor holdUps) {
        this.plan = plan;
        this.ledger = ledger;
        this.membership = membership;
        this.schedulers = schedulers;
        this.workers = workers;
        this.holdUps = holdUps;
    }

    /**
     * @param cpuUs what the schedulers spent under the load
     */
    Verdict verdict(long cpuUs) throws IOException {
        findings.addAll(ledger.findings());
        int sent = 0;
        int served = 0;
        int closedKept = 0;
        for (Request request : ledger.requests()) {
            sent += request.end != null && request.end != End.NOT_SENT ? 1 : 0;
            served += request.status == 200 ? 1 : 0;
            closedKept += request.end == End.CLOSED_KEPT && !killed(request) ? 1 : 0;
            answered(request);
            request.attempts.forEach(attempt -> begun(request, attempt));
            repeated(request);
        }
        workers.forEach(this::cold);
        return new Verdict(
                sent,
                served,
                closedKept,
                reported(),
                holdUps.longestUs(0, Long.MAX_VALUE),
                cpuUs / Math.max(1, sent),
                findings);
    }

    private long reported() throws IOException {
        long reported = 0;
        for (SchedulerProcess scheduler : schedulers) {
            for (String line : scheduler.said().lines().toList()) {
                if (line.contains(VIOLATION)) {
                    reported++;
                    findings.add(new Finding("guard", "-", line));
                } else if (line.contains(" ERROR ") || line.contains("OutOfMemory")) {
                    findings.add(new Finding("error", "-", line));
                }
            }
        }
        return reported;
    }

    private boolean killed(Request request) {
        return schedulers.get(request.scheduler).kills().stream()
                .anyMatch(
                        kill ->
                                kill.toUs() >= request.beganUs
                                        && kill.fromUs() <= request.endedUs + SLACK_US);
    }

    private void answered(Request request) {
        boolean lost = request.end == End.CLOSED_NEW || request.end == End.UNANSWERED;
        if (lost && !killed(request)) {
            find(
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
        if (request.end == End.CLOSED_KEPT && !request.attempts.isEmpty() && !killed(request)) {
            find(
                    "lost",
                    request,
                    "closed on a kept connection though it was sent on",
                    request.beganUs,
                    request.endedUs);
        }
        if (request.status == 200 && !("r-" + request.id).equals(request.result)) {
            find(
                    "lost",
                    request,
                    "served with what no worker made: " + request.result,
                    request.beganUs,
                    request.endedUs);
        }
        if (request.status == 400 || request.status == 408 || request.status == 409) {
            find(
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
                && !killed(request)) {
            find(
                    "refused after a run",
                    request,
                    run + " may have run",
                    request.beganUs,
                    request.endedUs);
        }
    }

    private void begun(Request request, Attempt attempt) {
        if (attempt.beganUs > request.leftUs + DEPARTURE_US + SLACK_US / 2) {
            find(
                    "departed",
                    request,
                    "attempt at "
                            + attempt.worker
                            + " "
                            + (attempt.beganUs - request.leftUs) / Clock.MILLISECOND
                            + " ms after the client left",
                    request.leftUs,
                    attempt.beganUs);
        }
        long leftUs = request.timeLeftUs - (attempt.beganUs - request.beganUs);
        if (attempt.toldUs > leftUs + TOLD_SLACK_US) {
            find(
                    "told",
                    request,
                    attempt.worker
                            + " was told "
                            + (attempt.toldUs - leftUs) / Clock.MILLISECOND
                            + " ms too much",
                    request.beganUs,
                    attempt.beganUs);
        }
        drained(request, attempt);
    }

    private void drained(Request request, Attempt attempt) {
        SchedulerProcess scheduler = schedulers.get(request.scheduler);
        Change last = null;
        long toldUs = Long.MAX_VALUE;
        for (Change change : membership.after(0)) {
            if (!change.entry().id().equals(attempt.worker) || change.atUs() > attempt.beganUs) {
                continue;
            }
            Long written = scheduler.toldUs().get(change.generation());
            long latest = Math.max(change.atUs(), scheduler.readyUs()) + TOLD_AT_THE_LATEST_US;
            last = change;
            toldUs = Math.min(written == null ? Long.MAX_VALUE : written, latest);
        }
        if (last == null || last.entry().lifecycle() == Lifecycle.READY) {
            return;
        }
        long lateUs = attempt.beganUs - toldUs - plan.drainGraceUs();
        if (lateUs > SLACK_US / 2) {
            find(
                    "drain",
                    request,
                    attempt.worker
                            + " "
                            + last.entry().lifecycle()
                            + " "
                            + lateUs / Clock.MILLISECOND
                            + " ms past the grace",
                    toldUs,
                    attempt.beganUs);
        }
    }

    private void repeated(Request request) {
        if (request.effect == Effect.REPEATABLE) {
            return;
        }
        List<Attempt> run =
                request.attempts.stream()
                        .filter(attempt -> !attempt.provenNotRun)
                        .sorted(Comparator.comparingLong(attempt -> attempt.wholeUs))
                        .toList();
        for (int i = 1; i < run.size(); i++) {
            Attempt first = run.get(0);
            Attempt again = run.get(i);
            boolean inWindow = again.wholeUs <= first.wholeUs + SoakPlan.KEYED_WINDOW_US + SLACK_US;
            if (request.effect == Effect.ONCE || !inWindow || !again.zone.equals(first.zone)) {
                find(
                        "duplicate",
                        request,
                        request.effect
                                + " at "
                                + first.worker
                                + " and, "
                                + (again.wholeUs - first.wholeUs) / Clock.MILLISECOND
                                + " ms later, at "
                                + again.worker,
                        first.wholeUs,
                        again.wholeUs);
            }
        }
    }

    /**
     * No span of the stated length may bring a cold worker more than its budget and what chance
     * adds (STANDING).
     */
    private void cold(SoakWorker worker) {
        if (worker.startedUs() == 0) {
            return;
        }
        List<Long> came = new ArrayList<>();
        for (Request request : ledger.requests()) {
            for (Attempt attempt : request.attempts) {
                if (attempt.worker.equals(worker.id())
                        && attempt.incarnation == worker.incarnation()) {
                    came.add(attempt.wholeUs);
                }
            }
        }
        came.sort(null);
        for (int first = 0, last = 0; last < came.size(); last++) {
            while (came.get(last) - came.get(first) > SoakPlan.FALL_US) {
                first++;
            }
            double age = came.get(last) - worker.startedUs();
            double warmth =
                    Math.min(
                            1,
                            SoakPlan.COLD_SHARE
                                    + (1 - SoakPlan.COLD_SHARE) * age / SoakPlan.COLD_US);
            double n =
                    SoakPlan.FALL_MULTIPLE
                            * warmth
                            * SoakWorker.SLOTS
                            * SoakPlan.FALL_US
                            / SoakWorker.MEAN_JOB_US;
            if (warmth < 1 && last - first + 1 > n + 2 * Math.sqrt(n) + 2) {
                findings.add(
                        new Finding(
                                "cold",
                                worker.id(),
                                (last - first + 1)
                                        + " requests of "
                                        + (int) n
                                        + " at age "
                                        + (long) age / Clock.MILLISECOND
                                        + " ms"));
                return;
            }
        }
    }

    private void find(String rule, Request request, String detail, long fromUs, long toUs) {
        long heldUpUs = holdUps.longestUs(fromUs - SLACK_US, toUs + SLACK_US);
        findings.add(
                new Finding(
                        rule,
                        request.id,
                        "n"
                                + request.scheduler
                                + " "
                                + detail
                                + (heldUpUs > 0
                                        ? " (the soak itself was held up for "
                                                + heldUpUs / Clock.MILLISECOND
                                                + " ms)"
                                        : "")));
    }
}
