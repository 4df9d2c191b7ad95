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
 * The accepted requests, from their acceptance until their last attempt has ended.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class OpenRequests {
    /** A request that fails this shortly before its deadline fails because of the deadline. */
    private static final long DEADLINE_MARGIN_US = 50_000;

    private final EventLoop loop;
    private final EngineStatistics statistics;
    private final RequestTrace trace;
    private final EngineGuards guards;
    private final Consumer<Event> eventSink;
    private final Map<String, RequestContext> contexts = new HashMap<>();

    /** One object for all requests. */
    private final BiConsumer<RequestContext, Response> responseObserver = this::onResponse;

    private int openCount;

    /**
     * Creates an empty table.
     *
     * @param eventSink receives events for the decision module
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

    /** Returns how many requests still lack their final response. */
    int openCount() {
        return openCount;
    }

    /** Whether the id belongs to a request that is open or has an open attempt. */
    boolean contains(String id) {
        return contexts.containsKey(id);
    }

    /** Returns the context of a request, or null if it is finished or was never accepted. */
    RequestContext find(String id) {
        return contexts.get(id);
    }

    /** Accepts a request; rejects it at once if too many are open. */
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
     * Closes a request whose client has disconnected and tells the decision module; returns false
     * without any effect if it was closed already.
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

    /** Gives the final response to a request, if it is known and lacks one. */
    void answer(String id, Response response) {
        RequestContext context = contexts.get(id);
        if (context != null) {
            context.answer(response);
            removeIfFinished(context);
        }
    }

    /** Ends a request as failed, or as timed out if its deadline is reached. */
    void fail(String id) {
        RequestContext context = contexts.get(id);
        if (context != null) {
            boolean deadlineReached =
                    loop.nowUs() + DEADLINE_MARGIN_US > context.request().deadlineUs();
            answer(id, Response.failed(deadlineReached));
        }
    }

    /** Has every open request answered now, as if its deadline were reached. */
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

    /** Forgets a request to which nothing more can happen. */
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
