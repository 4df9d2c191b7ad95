package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.engine.invariants.CloseGuard;
import damsonslip.engine.invariants.InvariantMonitor;
import damsonslip.engine.invariants.RetryGuard;
import damsonslip.engine.invariants.RetryGuard.EarlierAttempt;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.engine.invariants.SendGuard;
import damsonslip.engine.invariants.Violation;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.SlowStartLoad;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes facts about requests and attempts to the invariant guards, and logs violations together
 * with the newest events.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class EngineGuards {
    private static final Logger LOG = LoggerFactory.getLogger(EngineGuards.class);

    /** System property with an {@link InvariantMonitor.Mode} in any case; default: report. */
    private static final String MODE_PROPERTY = "damsonslip.invariants";

    private static final int EVENTS_PER_VIOLATION = 16;

    private final EventLoop loop;
    private final SchedulingPolicy policy;
    private final Settings settings;
    private final EventLog eventLog;
    private final Counters counters;
    private final InvariantMonitor monitor;

    EngineGuards(
            EventLoop loop,
            SchedulingPolicy policy,
            Settings settings,
            EventLog eventLog,
            Counters counters) {
        this.loop = loop;
        this.policy = policy;
        this.settings = settings;
        this.eventLog = eventLog;
        this.counters = counters;
        this.monitor = new InvariantMonitor(configuredMode(), this::report);
    }

    private static InvariantMonitor.Mode configuredMode() {
        String mode = System.getProperty(MODE_PROPERTY, "report");
        return InvariantMonitor.Mode.valueOf(mode.toUpperCase(Locale.ROOT));
    }

    InvariantMonitor monitor() {
        return monitor;
    }

    /** Whether the request may be attempted at this worker now, given its earlier attempts. */
    boolean permitsAttempt(RequestContext context, WorkerLocation location, long nowUs) {
        Request request = context.request();
        return monitor.permits(
                RetryGuard.check(
                        request.id(),
                        jobClassOf(request),
                        location,
                        earlierAttempts(context),
                        nowUs));
    }

    /**
     * Whether the first byte of an attempt may be written now.
     *
     * @param timeLimitUs the time limit that the worker is given
     * @param drainingSinceUs when the worker was reported as draining or removed; {@link
     *     Long#MAX_VALUE} if it is running
     */
    boolean permitsSend(Attempt attempt, long timeLimitUs, long drainingSinceUs) {
        Request request = attempt.request();
        SlowStartLoad slowStartLoad = policy.slowStartLoad(attempt.worker(), request.jobClass());
        return monitor.permits(
                SendGuard.check(
                        new SendGuard.Facts(
                                request.id(),
                                attempt.worker(),
                                loop.nowUs(),
                                drainingSinceUs,
                                settings.guarantees().drainGraceUs(),
                                !attempt.context().isClosed(),
                                request.earliestDeadlineUs(),
                                timeLimitUs,
                                slowStartLoad)));
    }

    /** Checks a final response that is about to be given. */
    void checkResponse(RequestContext context, Response response) {
        Request request = context.request();
        monitor.permits(CloseGuard.checkResponse(request.id(), loop.nowUs(), request.deadlineUs()));
        if (response.kind() == Response.Kind.THROTTLED) {
            monitor.permits(
                    RetryGuard.checkRejection(
                            request.id(), jobClassOf(request), earlierAttempts(context)));
        }
    }

    private JobClass jobClassOf(Request request) {
        return settings.classes().get(request.jobClass());
    }

    private static List<EarlierAttempt> earlierAttempts(RequestContext context) {
        return context.attempts().stream().map(Attempt::asEarlierAttempt).toList();
    }

    private void report(Violation violation) {
        counters.add(Count.INVARIANTS_VIOLATED);
        LOG.error(
                "event=invariant_violated invariant={} job={} worker={} detail=\"{}\" events={}",
                violation.invariant(),
                violation.job(),
                violation.worker(),
                violation.detail(),
                eventLog.newest(EVENTS_PER_VIOLATION, violation.job()));
    }
}
