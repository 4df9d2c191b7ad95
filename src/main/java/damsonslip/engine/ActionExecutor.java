package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Log;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WatchWorkerList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the actions of the scheduling policy.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class ActionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(ActionExecutor.class);

    private final EventLoop loop;
    private final Counters counters;
    private final RequestTrace trace;
    private final Consumer<Event> eventSink;
    private final Supplier<WorkerGateway> gateway;
    private final OpenRequests requests;
    private final AttemptManager attempts;

    /**
     * Creates the executor of one engine.
     *
     * @param eventSink receives the events that actions cause
     * @param gateway returns the gateway to the workers
     */
    ActionExecutor(
            EventLoop loop,
            Counters counters,
            RequestTrace trace,
            Consumer<Event> eventSink,
            Supplier<WorkerGateway> gateway,
            OpenRequests requests,
            AttemptManager attempts) {
        this.loop = loop;
        this.counters = counters;
        this.trace = trace;
        this.eventSink = eventSink;
        this.gateway = gateway;
        this.requests = requests;
        this.attempts = attempts;
    }

    /**
     * Executes an action. A failure is logged and counted, and does not prevent the actions after
     * it, such as setting the timer that answers the request at its deadline.
     */
    void execute(Action action) {
        try {
            dispatch(action);
        } catch (RuntimeException e) {
            counters.add(Count.ACTIONS_FAILED);
            LOG.error("event=action_failed action={}", action, e);
        }
    }

    private void dispatch(Action action) {
        if (action instanceof Send send) {
            attempts.send(send);
        } else if (action instanceof Cancel cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof Reject reject) {
            requests.answer(reject.job(), Response.throttled(reject.retryAfterUs()));
        } else if (action instanceof Fail fail) {
            requests.fail(fail.job());
        } else if (action instanceof ProbeWorker probe) {
            counters.add(Count.PROBES_SENT);
            gateway.get().probe(probe.worker(), probe.connectedBeforeUs());
        } else if (action instanceof SetTimer timer) {
            setTimer(timer);
        } else if (action instanceof WatchWorkerList) {
            trace.workerListRequested();
            gateway.get().watchWorkerList();
        } else if (action instanceof Log log) {
            LOG.info(log.text());
        }
    }

    /** Sets a timer, unless it is for a job that has its final answer. */
    private void setTimer(SetTimer timer) {
        Runnable due = () -> eventSink.accept(new TimerDue(timer.label()));
        if (timer.job() == null) {
            loop.scheduleAt(timer.atUs(), due);
            return;
        }
        RequestContext context = requests.find(timer.job());
        if (context != null) {
            context.schedule(loop, timer.atUs(), due);
        }
    }
}
