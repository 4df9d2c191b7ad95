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
 * Executes the actions of the decision module.
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
     * Executes an action. A failure is logged and counted, and does not keep the actions after it
     * from being executed, such as the timer by which the request gets a response.
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
            loop.scheduleAt(timer.atUs(), () -> eventSink.accept(new TimerDue(timer.label())));
        } else if (action instanceof WatchWorkerList) {
            trace.workerListRequested();
            gateway.get().watchWorkerList();
        } else if (action instanceof Log log) {
            LOG.info(log.text());
        }
    }
}
