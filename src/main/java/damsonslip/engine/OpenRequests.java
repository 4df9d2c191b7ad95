package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.TimerDue;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The requests that await their final response or the end of an attempt.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class OpenRequests {
    /** A failure this shortly before the deadline is reported as a missed deadline. */
    private static final long DEADLINE_MARGIN_US = 50_000;

    private final EventLoop loop;
    private final EngineStatistics statistics;
    private final RequestTrace trace;
    private final EngineGuards guards;
    private final Consumer<Event> eventSink;
    private final Map<String, RequestContext> contexts = new HashMap<>();

    /** Shared by all requests, to avoid one object for each. */
    private final BiConsumer<RequestContext, Response> responseObserver = this::onResponse;

    private int openCount;

    /**
     * Creates an empty table.
     *
     * @param eventSink receives events for the policy
     */
    OpenRequests(
            EventLoop loop,
            EngineStatistics statistics,
            RequestTrace trace,
            EngineGuards guards,
            Consumer<Event> eventSink) {
        this.loop = loop;
        this.statistics = statistics;
        this.trace = trace;
        this.guards = guards;
        this.eventSink = eventSink;
    }

    /** Returns how many requests await their final response. */
    int openCount() {
        return openCount;
    }

    /** Whether the id belongs to a request that is open or has an open attempt. */
    boolean contains(String id) {
        return contexts.containsKey(id);
    }

    /** Returns the context of a request, or null if it is finished or unknown. */
    RequestContext find(String id) {
        return contexts.get(id);
    }

    /** Accepts a request, or rejects it immediately if too many are open. */
    RequestContext submit(Request request, ResponseListener listener) {
        statistics.count(Count.QUERIES_TAKEN);
        trace.accepted(request);
        RequestContext context = new RequestContext(request, listener, responseObserver);
        openCount++;
        if (openCount > SchedulerEngine.MAX_OPEN_REQUESTS) {
            context.answer(Response.throttled(Response.NO_RETRY_AFTER));
            return context;
        }
        contexts.put(request.id(), context);
        eventSink.accept(
                new JobArrived(
                        request.id(),
                        request.jobClass(),
                        request.tenant(),
                        request.affinityKey(),
                        request.deadlineUs(),
                        request.slots(),
                        request.memory(),
                        request.maxRuns(),
                        request.eligibleWorkers()));
        return context;
    }

    /**
     * Closes a request whose client has disconnected and notifies the policy; returns false without
     * any effect if it was closed already.
     */
    boolean abandon(RequestContext context) {
        if (!context.abandon()) {
            return false;
        }
        openCount--;
        statistics.count(Count.QUERIES_GONE);
        trace.clientDisconnected(context.request());
        eventSink.accept(new ClientDisconnected(context.request().id()));
        return true;
    }

    /** Gives a request its final response; does nothing if it is unknown or has one. */
    void answer(String id, Response response) {
        RequestContext context = contexts.get(id);
        if (context != null) {
            context.answer(response);
            removeIfFinished(context);
        }
    }

    /** Answers a request as failed, and records whether the deadline was the reason. */
    void fail(String id) {
        RequestContext context = contexts.get(id);
        if (context != null) {
            boolean deadlineReached =
                    loop.nowUs() + DEADLINE_MARGIN_US > context.request().deadlineUs();
            answer(id, Response.failed(deadlineReached));
        }
    }

    /** Makes the policy answer every open request now, as if its deadline were reached. */
    void answerAllOpen() {
        contexts.values().stream()
                .filter(context -> !context.isClosed())
                .map(context -> context.request().id())
                .toList()
                .forEach(
                        id ->
                                eventSink.accept(
                                        new TimerDue(SchedulingPolicy.deadlineTimerLabel(id))));
    }

    /** Removes a request if it is closed and has no open attempt. */
    void removeIfFinished(RequestContext context) {
        if (context.isFinished()) {
            contexts.remove(context.request().id());
        }
    }

    private void onResponse(RequestContext context, Response response) {
        openCount--;
        guards.checkResponse(context, response);
        trace.answered(context.request(), response);
        statistics.countResponse(context.request().jobClass(), response.kind());
    }
}
