package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.Settings;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Makes the attempts that the decision module asks for, and tracks each until its end.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class AttemptManager {
    /**
     * A repetition has to start this much before the idempotency window ends, since it counts only
     * when the worker has received it completely.
     */
    private static final long IDEMPOTENCY_WINDOW_MARGIN_US = 20_000;

    private final EventLoop loop;
    private final Settings settings;
    private final EngineStatistics statistics;
    private final RequestTrace trace;
    private final EngineGuards guards;
    private final Consumer<Event> eventSink;
    private final Supplier<WorkerGateway> gateway;
    private final WorkerList workerList;
    private final OpenRequests requests;

    /**
     * Creates the manager of one engine's attempts.
     *
     * @param eventSink receives events for the decision module
     * @param gateway returns the gateway to the workers
     */
    AttemptManager(
            EventLoop loop,
            Settings settings,
            EngineStatistics statistics,
            RequestTrace trace,
            EngineGuards guards,
            Consumer<Event> eventSink,
            Supplier<WorkerGateway> gateway,
            WorkerList workerList,
            OpenRequests requests) {
        this.loop = loop;
        this.settings = settings;
        this.statistics = statistics;
        this.trace = trace;
        this.guards = guards;
        this.eventSink = eventSink;
        this.gateway = gateway;
        this.workerList = workerList;
        this.requests = requests;
    }

    /** Makes the next attempt of a request. */
    void send(Send send) {
        RequestContext context = requests.find(send.job());
        if (context == null) {
            // the request was finished while the module decided; it still expects an end
            eventSink.accept(
                    new AttemptEnded(send.job(), 0, AttemptOutcome.NEVER_SENT, true, null));
            return;
        }
        statistics.count(Count.EXECUTIONS_SENT);
        long nowUs = loop.nowUs();
        WorkerLocation location = workerList.locate(send.worker());
        boolean isPermitted = guards.permitsAttempt(context, location, nowUs);
        long timeoutAtUs = timeoutAtUs(send, context.request(), nowUs);
        Attempt attempt = new Attempt(context, location, nowUs, timeoutAtUs);
        context.add(attempt);
        trace.sent(attempt);
        attempt.startTimeout(
                loop.scheduleAt(timeoutAtUs, () -> stop(attempt, AttemptOutcome.TIMED_OUT)));
        if (context.isClosed() || !isPermitted) {
            ended(attempt, Attempt.Completion.of(AttemptOutcome.NEVER_SENT));
        } else {
            gateway.get().send(attempt);
        }
    }

    private static long timeoutAtUs(Send send, Request request, long nowUs) {
        return send.timeoutUs() > 0
                ? Math.min(request.deadlineUs(), nowUs + send.timeoutUs())
                : request.deadlineUs();
    }

    /** Stops waiting for an attempt that the decision module cancels. */
    void cancel(Cancel cancel) {
        RequestContext context = requests.find(cancel.job());
        if (context != null && cancel.attempt() < context.attempts().size()) {
            stop(context.attempts().get(cancel.attempt()), AttemptOutcome.CANCELLED);
        }
    }

    private void stop(Attempt attempt, AttemptOutcome outcome) {
        if (attempt.isOpen()) {
            gateway.get().cancel(attempt);
            ended(attempt, Attempt.Completion.of(outcome));
        }
    }

    /**
     * Gives up the attempts that are still being written. A complete request would be executed
     * although its client has disconnected, and not every configuration allows to cancel it then.
     */
    void withdrawUnsent(RequestContext context) {
        for (Attempt attempt : List.copyOf(context.attempts())) {
            if (attempt.isOpen() && gateway.get().withdrawUnsent(attempt)) {
                ended(attempt, Attempt.Completion.of(AttemptOutcome.NEVER_SENT));
            }
        }
    }

    /** Records that the worker runs the request of an open attempt. */
    void started(Attempt attempt) {
        if (attempt.markRunning()) {
            trace.started(attempt);
            eventSink.accept(new AttemptStarted(attempt.request().id(), attempt.number()));
        }
    }

    /** Records the end of an attempt; only the first end counts. */
    void ended(Attempt attempt, Attempt.Completion end) {
        if (!attempt.end(end.outcome())) {
            return;
        }
        trace.ended(attempt, end.outcome());
        RequestContext context = attempt.context();
        context.attemptEnded();
        limitRetries(attempt, end.outcome());
        statistics.countAttemptEnd(end.outcome());
        if (end.outcome() == AttemptOutcome.SERVED) {
            context.answer(Response.served(end.result()));
        }
        eventSink.accept(
                new AttemptEnded(
                        attempt.request().id(),
                        attempt.number(),
                        end.outcome(),
                        context.isClosed(),
                        end.report()));
        requests.removeIfFinished(context);
    }

    /** Workers recognize a repetition only within a window after an attempt that may have run. */
    private void limitRetries(Attempt attempt, AttemptOutcome outcome) {
        JobClass jobClass = settings.classes().get(attempt.request().jobClass());
        if (jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && !outcome.provesNotRun()) {
            attempt.context()
                    .limitRetriesUntil(
                            attempt.sentUs()
                                    + jobClass.idempotencyWindowUs()
                                    - IDEMPOTENCY_WINDOW_MARGIN_US);
        }
    }
}
